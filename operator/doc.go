// Package operator implements the commands of hibiscusctl.
//
// Commands that concern the configuration and the members read the state from the log themselves and append records to
// it. Commands that concern one process call its admin endpoint.
package operator
