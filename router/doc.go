// Package router serves callers: it takes an HTTP request, finds the process that must answer it, forwards the request
// there, and returns the response with its outcome.
package router
