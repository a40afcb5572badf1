// Package reporter defines the JSON bodies of a hibiscusd's admin endpoint.
//
// GET /status answers with Status, GET /dump with a JSON object for people, POST /drain takes no body, and POST /move
// takes Move. An answer that is not 2xx carries Refusal.
package reporter
