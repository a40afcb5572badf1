// Package recorder defines the messages and limits of the platform's log service.
//
// A stream is a sequence of records with offsets from 1. POST /streams/{stream}/records appends the request body as one
// record and answers with an AppendReply. GET /streams/{stream}/records?from=N&limit=M answers with a ReadReply. Both
// replies are CBOR. Every error answer is an ErrorReply in JSON.
package recorder

//go:generate go tool stringer -type=Reason -linecomment -output=names.go
