package forwarder

import (
	"time"

	"hibiscusline/executor"
)

// maxLinkRefusal bounds how long a member is skipped after its link was saturated. Skipping saves the bandwidth that its
// refusals would use.
const maxLinkRefusal = 80 * time.Millisecond

// linkRefusals holds, for each member and rank, the latest refusal because of a saturated link. It is not safe for
// concurrent use.
type linkRefusals map[refusalKey]refusal

type refusalKey struct{ member, rank string }

// refusal tells until when a member isn't asked again, and when it expects to have room.
type refusal struct {
	until, retryAt time.Duration
	reason         executor.Reason
}

// record stores a result if it is a refusal because of a saturated link.
func (l linkRefusals) record(key refusalKey, now time.Duration, r executor.Result) {
	if r.Reason == executor.LinkBusy {
		l[key] = refusal{
			until: now + min(r.RetryAfter, maxLinkRefusal), retryAt: now + r.RetryAfter, reason: executor.LinkBusy,
		}
	}
}

// lookUp returns the refusal that applies to a further request, if there is one.
func (l linkRefusals) lookUp(key refusalKey, now time.Duration) (refusal, bool) {
	e, present := l[key]
	return e, present && now < e.until
}

// result returns the result of a request that isn't sent because of the refusal. Its caller is told the time that the
// member has named, not the end of the skipping.
func (e refusal) result(now time.Duration) executor.Result {
	return executor.Result{Outcome: executor.NotRun, Reason: e.reason, RetryAfter: max(e.retryAt-now, 0)}
}
