// Package quarantiner detects poison requests, which crash the backend servers that run them.
//
// A crash marks every request that was in flight on the server. A marked request is a suspect: it runs alone, which
// means that no request with another fingerprint is in flight on its server. If it completes, its marks are cleared.
// If the server crashes again, the request is refused, because of two crashes of which one happened while it ran
// alone. A crash with several requests in flight proves nothing about any one of them: however many such crashes a
// request was part of, it runs alone next and is not refused. So a request that happens to run beside several
// different poison requests is never refused.
//
// Config.CrashesBeforeAlone raises the number of crashes from which on a request runs alone, and with it the number of those that a
// refusal needs, where running alone costs more than another crash.
//
// A poison request that is retried after each crash crashes at most two servers: the first crash makes it a suspect,
// the second happens while it runs alone and leads to its refusal. This holds as long as the marks arrive before the
// retry: the process of the crashed server marks the request immediately, the entry process receives the marks on the
// stream and sends them with every later attempt (CrashMarks, AddCrashMarks), and all other processes read them from
// the log (MergeSuspects). Copies that were already in flight on other servers at the first crash can each crash one
// more server. A refusal that expires becomes a suspicion for another expiry time, so a caller that sends the request
// continuously crashes one more server each time.
//
// Crashes have ids. A crash that is reported by this process, by a peer and by the log counts once.
//
// A Quarantiner is not safe for concurrent use.
package quarantiner
