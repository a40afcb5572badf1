package dispatcher

import (
	"strings"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/hasher"
)

// verify checks a request against the state of this process. The entry process, which received it from the caller,
// has checked it too, but its state may be older, and a faulty or malicious one must not bypass the ownership checks.
func (d *Dispatcher) verify(j *job) encoder.Reason {
	head := &j.head
	if head.Target != d.config.Self() || head.Service != d.config.Service {
		return encoder.NotOwner
	}
	agreed := false
	d.config.State.View(func(s *applier.State) {
		if s.Configuration == nil {
			return
		}
		service, present := s.Configuration.Services[head.Service]
		_, j.ranked = s.Configuration.Ranks[head.Rank]
		agreed = present && service.Keyed == head.Keyed && j.ranked
	})
	switch {
	case !agreed:
		return encoder.NotReady
	case !strings.HasPrefix(head.Path, "/"):
		return encoder.BadRequest
	case !head.Keyed && head.IdempotencyKey != "":
		return encoder.BadRequest
	case head.Keyed && head.Position != hasher.KeyPosition(head.Key):
		return encoder.BadRequest
	}
	return encoder.NoReason
}

// rankLabel returns the rank for metric labels. Ranks that are not in the configuration share one label, because they
// come from the network and could contain any text.
func (j *job) rankLabel() string {
	if !j.ranked {
		return "unknown"
	}
	return j.head.Rank
}
