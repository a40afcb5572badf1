package emulator

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hibiscusline/recorder"
)

// LogConfig configures a Log. The zero value keeps all records and has no faults.
type LogConfig struct {
	// Seed seeds the random choice of lost responses.
	Seed uint64
	// Settings are the initial settings.
	Settings LogSettings
}

// Log is an in-memory log service. It implements http.Handler and is safe for concurrent use.
type Log struct {
	mutex    sync.Mutex
	settings LogSettings
	changed  chan struct{}
	limiter  *rate.Limiter
	random   *rand.Rand
	streams  map[string]*stream
	counts   LogCounts
}

// LogCounts counts the operations of a Log since its start.
type LogCounts struct {
	Appends       uint64 `json:"appends"`
	Reads         uint64 `json:"reads"`
	Refused       uint64 `json:"refused"`
	LostResponses uint64 `json:"lost_answers"`
	RateLimited   uint64 `json:"rate_limited"`
	// Bytes is the size of all records appended.
	Bytes uint64 `json:"bytes"`
}

type stream struct {
	first   uint64
	records []storedRecord
}

type storedRecord struct {
	data []byte
	at   time.Time
}

// NewLog returns an empty log.
func NewLog(c LogConfig) *Log {
	l := &Log{
		settings: c.Settings, changed: make(chan struct{}), limiter: rate.NewLimiter(rate.Inf, 1),
		random: rand.New(rand.NewPCG(c.Seed, 1)), streams: map[string]*stream{},
	}
	l.updateLimiter()
	return l
}

// Append appends a record to a stream, without the configured delays and faults, and returns its offset.
func (l *Log) Append(name string, record []byte) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	s.records = append(s.records, storedRecord{data: bytes.Clone(record), at: time.Now()})
	l.counts.Appends++
	l.counts.Bytes += uint64(len(record))
	offset := s.next() - 1
	l.expire(s)
	return offset
}

// Read returns at most limit records of a stream from an offset on, without the configured delays and faults. It
// returns fewer records if they would exceed recorder.MaxReadBytes, but at least one if any is left.
func (l *Log) Read(name string, from uint64, limit int) recorder.ReadReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Reads++
	s, present := l.streams[name]
	if !present {
		return recorder.ReadReply{First: 1, Next: 1, Start: 1}
	}
	l.expire(s)
	reply := recorder.ReadReply{First: s.first, Next: s.next(), Start: min(max(from, s.first), s.next())}
	size := 0
	for _, r := range s.records[reply.Start-s.first:] {
		size += len(r.data)
		if len(reply.Records) >= limit || (len(reply.Records) > 0 && size > recorder.MaxReadBytes) {
			break
		}
		reply.Records = append(reply.Records, r.data)
	}
	return reply
}

// Counts returns the counters.
func (l *Log) Counts() LogCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts
}

func (l *Log) stream(name string) *stream {
	s, present := l.streams[name]
	if !present {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// expire drops the records beyond the retention limits. The caller holds the mutex.
func (l *Log) expire(s *stream) {
	expired := 0
	if limit := l.settings.RetainCount; limit > 0 {
		expired = max(0, len(s.records)-limit)
	}
	if age := l.settings.RetainFor.Value(); age > 0 {
		oldest := time.Now().Add(-age)
		for expired < len(s.records) && s.records[expired].at.Before(oldest) {
			expired++
		}
	}
	clear(s.records[:expired])
	s.records = s.records[expired:]
	s.first += uint64(expired)
}

// loseResponse decides whether to lose the response to an append that took effect, and counts lost ones.
func (l *Log) loseResponse() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lost := l.settings.LoseResponses > 0
	if lost {
		l.settings.LoseResponses--
	} else {
		lost = l.settings.LoseProbability > 0 && l.random.Float64() < l.settings.LoseProbability
	}
	if lost {
		l.counts.LostResponses++
	}
	return lost
}

// withholdResponse decides whether to send no response to a call that took effect, and counts such calls as lost ones.
func (l *Log) withholdResponse() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.settings.WithholdResponses == 0 {
		return false
	}
	l.settings.WithholdResponses--
	l.counts.LostResponses++
	return true
}
