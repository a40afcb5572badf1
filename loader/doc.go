// Package loader reads settings written as JSON with comments.
//
// Reading is strict: a field that the target doesn't have, a field given twice, or a value of the wrong type is an
// error. All errors of a document are reported at once, each with the path of its field, the value, and what is allowed.
package loader
