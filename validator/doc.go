// Package validator parses, validates and compares configurations.
//
// A configuration is one document of named objects that refer to one another. It is validated as a whole: Parse reports
// every error of the document at once, each with the object, the field, the value and the allowed values.
package validator
