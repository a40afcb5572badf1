// Package loader decodes and checks settings files, which are JSON with comments.
//
// Decoding is strict: an unknown field, a duplicate field or a value of the wrong type is an error. All errors of a
// document are reported at once, each with the path of its field, the value and the allowed values.
package loader
