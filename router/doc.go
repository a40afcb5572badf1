// Package router is the entry for callers: it takes an HTTP request, finds the process that must answer it, forwards the
// request there, and returns the answer with its outcome.
package router
