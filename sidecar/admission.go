package sidecar

import (
	"fmt"

	"hibiscusline/admitter"
	"hibiscusline/executor"
)

// admissionPolicy returns the policy with the given name. The loader has validated the name.
func admissionPolicy(name string) admitter.Policy {
	if name == admitter.Ranked.String() {
		return admitter.Ranked
	}
	return admitter.LeastCost
}

// decision records whether a job got a slot of the backend server, and after how long.
func (m *meters) decision(d executor.Decision) {
	result := fmt.Sprintf("benefit=%q", d.Benefit)
	name := "hibiscus_slots_given_total"
	if !d.Started {
		result, name = fmt.Sprintf("reason=%q", d.Reason), "hibiscus_slots_refused_total"
	}
	m.count(fmt.Sprintf(`%s{rank=%q,%s}`, name, d.Rank, result))
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hibiscus_slot_wait_seconds{rank=%q,given="%t"}`, d.Rank, d.Started)).Update(d.Waited.Seconds())
}
