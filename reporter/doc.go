// Package reporter defines the JSON bodies of the admin endpoint of hibiscusd.
//
// GET /status returns Status. GET /dump returns a human-readable JSON object. POST /drain takes no body. POST /move
// takes MoveRequest. A response with a status other than 2xx carries ErrorResponse.
package reporter
