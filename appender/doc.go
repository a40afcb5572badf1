// Package appender is the client of the platform's log service.
//
// An append whose answer was lost may have taken effect. Commit therefore appends the same record again, with the same
// id, and reads on until it sees that id; the state ignores the duplicates.
package appender
