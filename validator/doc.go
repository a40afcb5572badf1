// Package validator parses and checks configurations.
//
// A configuration is one document of named objects that refer to one another. It is checked as a unit: Parse reports
// every error of the document at once, each with the object, the field, the value and what is allowed.
package validator
