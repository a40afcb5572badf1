package emulator

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"hibiscusline/validator"
)

// LogSettings are the settings of a Log that can change at run time.
type LogSettings struct {
	// Outage fails all calls: refuse answers with status 503, hang sends no response until the outage ends.
	Outage Outage `json:"down"`
	// RetainFor is the age at which records expire; zero keeps them.
	RetainFor validator.Duration `json:"retain_for"`
	// RetainCount is the number of records kept in each stream; zero keeps all.
	RetainCount int `json:"retain_count"`
	// AppendDelay is the time before an append takes effect. It takes effect even if the client has disconnected by
	// then.
	AppendDelay validator.Duration `json:"append_delay"`
	ReadDelay   validator.Duration `json:"read_delay"`
	// LoseResponses is the number of next appends that take effect but whose connection is then aborted.
	LoseResponses int `json:"lose_answers"`
	// WithholdResponses is the number of next calls that take effect but get no response, on a connection that stays open.
	WithholdResponses int `json:"withhold_answers"`
	// LoseProbability is the probability, from 0 to 1, that the response to an append is lost in this way.
	LoseProbability float64 `json:"lose_probability"`
	// AppendRate is the limit of appends per second; zero is no limit. An append that would wait for more than a second
	// is rejected with status 429.
	AppendRate float64 `json:"append_rate"`
}

func (s LogSettings) check() error {
	switch {
	case s.RetainFor < 0, s.RetainCount < 0, s.AppendDelay < 0, s.ReadDelay < 0, s.LoseResponses < 0, s.WithholdResponses < 0,
		s.AppendRate < 0:
		return errors.New("durations, counts and rates must not be negative")
	case s.LoseProbability < 0 || s.LoseProbability > 1:
		return errors.Errorf("lose_probability is %g; allowed: 0 to 1", s.LoseProbability)
	}
	return nil
}

// Settings returns the settings in force.
func (l *Log) Settings() LogSettings {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.settings
}

// Change edits the settings. It returns an error and changes nothing if the edited settings are invalid.
func (l *Log) Change(edit func(*LogSettings)) error {
	return l.change(func(s *LogSettings) error { edit(s); return nil })
}

// ChangeJSON sets the fields that a JSON object holds and keeps the others. It returns an error and changes nothing if
// a field is unknown or the edited settings are invalid.
func (l *Log) ChangeJSON(data []byte) error {
	return l.change(func(s *LogSettings) error {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		return errors.Wrap(decoder.Decode(s), "decode settings")
	})
}

func (l *Log) change(edit func(*LogSettings) error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	edited := l.settings
	if err := edit(&edited); err != nil {
		return err
	}
	if err := edited.check(); err != nil {
		return err
	}
	l.settings = edited
	l.updateLimiter()
	close(l.changed)
	l.changed = make(chan struct{})
	return nil
}

func (l *Log) updateLimiter() {
	limit := rate.Inf
	if l.settings.AppendRate > 0 {
		limit = rate.Limit(l.settings.AppendRate)
	}
	if limit != l.limiter.Limit() {
		l.limiter = rate.NewLimiter(limit, max(1, int(l.settings.AppendRate/10)))
	}
}

// outage returns the current outage and a channel that is closed when settings change. It counts a refused call during
// an outage of kind Refuse.
func (l *Log) outage() (Outage, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.settings.Outage == Refuse {
		l.counts.Refused++
	}
	return l.settings.Outage, l.changed
}
