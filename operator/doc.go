// Package operator implements the commands of hibiscusctl.
//
// Commands for the configuration and the members read the state from the log and append records to it. Commands for one
// process call its admin endpoint.
package operator
