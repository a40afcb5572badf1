// Package deduper stores the idempotency keys of non-repeatable requests, so that each request runs at most once
// within the idempotency window of its service.
//
// The owner of a range keeps a Table. Before it dispatches a request, it records an intent in the table and in the
// Store of each of its guardians; afterwards it records the outcome. When the range changes its owner, the new owner
// imports the rows from the former owner (planned move) or from the guardians' stores (take-over).
//
// The union of the stores of all guardians that the former owner's last record names is complete if each of them
// responds and reports its rows as complete. In every other case the new owner must call Block, which refuses requests
// of the range that have no row until the window has passed.
//
// An owner dispatches or settles (applier.Settle) only when at least one guardian of its last record has acknowledged
// all its rows. In a planned move, the former owner keeps the rows until the new one has appended applier.Receive: by
// then the new owner has imported the rows and blocks, sent the rows to its guardians and, if there are blocks,
// declared its guardians incomplete.
//
// Table and Store are not safe for concurrent use.
package deduper
