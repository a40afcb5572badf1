// Package appender is the client of the platform's log service.
//
// An append whose response was lost may have taken effect. Commit therefore retries the same record with the same id
// until it has read a record with that id from the log. The state ignores the duplicates.
package appender
