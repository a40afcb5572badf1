package admitter

import "time"

// Snapshot is the state of an Admitter as reported to operators.
type Snapshot struct {
	Policy           Policy         `json:"policy"`
	Slots            int            `json:"slots"`
	Reserved         int            `json:"reserved"`
	Running          int            `json:"running"`
	NestedRunning    int            `json:"nested_running"`
	ExclusiveWaiting int            `json:"alone_waiting"`
	ExclusiveRunning bool           `json:"alone_running"`
	Waiting          int            `json:"waiting"`
	LowestAdmitted   int            `json:"lowest_admitted"`
	UnknownRank      uint64         `json:"unknown_rank"`
	Ranks            []RankSnapshot `json:"ranks"`
}

// RankSnapshot is the state of one rank.
type RankSnapshot struct {
	Name    string  `json:"name"`
	Urgency int     `json:"urgency"`
	Floor   float64 `json:"floor"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// Busy is the moving average of the number of running requests.
	Busy float64 `json:"busy"`
	// CreditMillis is the slot time that the rank is owed, in milliseconds.
	CreditMillis float64 `json:"credit_ms"`
	// ServiceMillis is the expected service time, in milliseconds.
	ServiceMillis float64 `json:"service_ms"`
	Started       uint64  `json:"started"`
	// Benefits counts the starts by the benefit that was expected at the start.
	Benefits map[string]uint64 `json:"benefits"`
	Finished uint64            `json:"finished"`
	Refused  map[string]uint64 `json:"refused"`
}

// Snapshot returns the current state.
func (a *Admitter) Snapshot() Snapshot {
	s := Snapshot{
		Policy: a.config.Policy, Slots: a.slots, Reserved: a.reservedSlots(), Running: a.running,
		NestedRunning: a.nestedRunning, ExclusiveWaiting: len(a.exclusive.waiting),
		ExclusiveRunning: a.exclusive.current != nil,
		Waiting:          len(a.requests) - a.running, LowestAdmitted: a.LowestAdmitted(), UnknownRank: a.unknownRanks,
	}
	for _, q := range a.queues {
		s.Ranks = append(s.Ranks, q.snapshot())
	}
	return s
}

func (q *queue) snapshot() RankSnapshot {
	refused := map[string]uint64{}
	for reason, count := range q.refused {
		if count > 0 {
			refused[Reason(reason).String()] = count
		}
	}
	benefits := map[string]uint64{}
	for benefit, count := range q.benefits {
		if count > 0 {
			benefits[Benefit(benefit).String()] = count
		}
	}
	return RankSnapshot{
		Name: q.Name, Urgency: q.Urgency, Floor: q.Floor, Waiting: q.waiting(), Running: q.running, Busy: q.busy,
		CreditMillis: milliseconds(q.credit), ServiceMillis: milliseconds(q.serviceTime.mean),
		Started: q.started, Finished: q.finished, Benefits: benefits, Refused: refused,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
