package daemon

import (
	"time"

	"hibiscusline/waiter"
)

// Promises of docs/design.md that rest on answers of peers.
var (
	inForce     = waiter.Promise{Name: "configuration_in_force", Within: 4 * time.Second}
	servedAgain = waiter.Promise{Name: "served_again", Within: 2 * time.Second}
)

// Questions to peers on whose answers no promise rests.
var (
	reachablePeer = waiter.Exception{
		Reason: "a process that reaches no peer doesn't join, as intended", Within: 500 * time.Millisecond,
	}
	stateFromPeer = waiter.Exception{
		Reason: "no time is promised for the start without a log, and a state may be large", Within: 2 * time.Second,
	}
	storedRows = waiter.Exception{
		Reason: "rows of other owners aren't affected, and the rows are sent again", Within: time.Second,
	}
	lostRows = waiter.Exception{
		Reason: "another guardian has the rows too, and without it the range is blocked as intended", Within: time.Second,
	}
	transferredRows = waiter.Exception{
		Reason: "moved ranges wait while the two processes alone are cut, and a lost target is replaced", Within: 2 * time.Second,
	}
)
