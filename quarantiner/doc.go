// Package quarantiner finds requests that crash the backend servers that run them.
//
// A crash marks every request that was in flight on the server. A marked request is a suspect: it runs alone, with no
// request of another fingerprint in flight. If it completes, it is cleared. If it crashes again, it is refused, on the
// strength of two crashes of which one happened while it ran alone. A crash in a crowd proves nothing about a single
// request: however many of them a request was in, it runs alone next and is not refused. So a neighbour of several
// different poison requests is never refused.
//
// One request that is sent again after each crash costs at most two servers: the first crash makes it a suspect, the
// second happens while it runs alone and leads to its refusal. This holds as far as the marks precede the request: the
// process beside the server that crashed marks it immediately, the entry process receives the marks on the stream and
// sends them with every later attempt (Marks, Suspect), and all others read them from the log (Merge). Copies that were
// already in flight on other servers at the first crash can each cost one more server. A refusal that expires becomes a
// suspicion for another expiry time, so a caller that sends the request all the time costs one more server each time.
//
// Crashes have ids. A crash that is known from this process, from a peer and from the log counts once.
//
// A Quarantiner is not safe for concurrent use.
package quarantiner
