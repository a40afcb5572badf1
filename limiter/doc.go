// Package limiter paces the requests that are started on a backend server while it is cold. It keeps two limits: a token
// bucket at the rate that the server tolerates, and a hard bound on the starts within any one second, whichever rates and
// cold times are reported. It is pure: times are passed in.
package limiter
