package emulator

import (
	"slices"
	"sync"
	"time"
)

// defaultLedgerCapacity bounds a ledger's memory to a few hundred MB.
const defaultLedgerCapacity = 1 << 20

// Execution is one execution of a request on a backend server. Start and End are times of package timer, which all
// processes of a machine share; End is zero while the request runs.
type Execution struct {
	Service        string        `json:"service"`
	Server         string        `json:"server"`
	Method         string        `json:"method"`
	Path           string        `json:"path"`
	Key            string        `json:"key,omitempty"`
	IdempotencyKey string        `json:"idempotency_key,omitempty"`
	RequestID      string        `json:"request_id,omitempty"`
	Range          string        `json:"range,omitempty"`
	Epoch          uint64        `json:"epoch,omitempty"`
	Start          time.Duration `json:"start_ns"`
	End            time.Duration `json:"end_ns"`
	Status         Status        `json:"status"`
}

// Ledger records executions in the order of their start. Several servers may share one. It is safe for concurrent use.
type Ledger struct {
	mutex      sync.Mutex
	capacity   int
	dropped    uint64
	executions []Execution
}

// LedgerReport is the content of a ledger. If Dropped is not zero, executions are missing and a check of the invariants
// is incomplete.
type LedgerReport struct {
	Executions []Execution `json:"executions"`
	Dropped    uint64      `json:"dropped"`
}

// NewLedger returns an empty ledger that keeps up to capacity executions (1,048,576 if zero) and counts further ones as
// dropped.
func NewLedger(capacity int) *Ledger {
	if capacity <= 0 {
		capacity = defaultLedgerCapacity
	}
	return &Ledger{capacity: capacity}
}

// Report returns a copy of the content.
func (l *Ledger) Report() LedgerReport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return LedgerReport{Executions: slices.Clone(l.executions), Dropped: l.dropped}
}

// Len returns the number of executions recorded.
func (l *Ledger) Len() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.executions)
}

// begin records the start of an execution and returns its index, or -1 when the ledger is full.
func (l *Ledger) begin(e Execution) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.executions) >= l.capacity {
		l.dropped++
		return -1
	}
	l.executions = append(l.executions, e)
	return len(l.executions) - 1
}

func (l *Ledger) end(index int, at time.Duration, status Status) {
	if index < 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.executions[index].End, l.executions[index].Status = at, status
}
