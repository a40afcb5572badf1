package emulator

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"hibiscusline/validator"
)

// ServerSettings are the settings of a backend server that can change at run time.
type ServerSettings struct {
	// ServiceTime is the mean time that a request occupies a slot.
	ServiceTime  validator.Duration `json:"service_time"`
	Distribution Distribution       `json:"distribution"`
	// ConnectCost delays the first read of a new connection.
	ConnectCost validator.Duration `json:"connect_cost"`
	// ProbeCost is the time that /health and /load take.
	ProbeCost validator.Duration `json:"probe_cost"`
	// ColdStart is the time after a start during which service times are multiplied by ColdFactor (4 if zero).
	ColdStart  validator.Duration `json:"cold_start"`
	ColdFactor float64            `json:"cold_factor"`
	// Shed rejects requests with status 503 when all slots are busy and QueueLimit requests wait. Otherwise the queue
	// is unbounded.
	Shed       bool `json:"shed"`
	QueueLimit int  `json:"queue"`
	// LoadReport selects what /load reports. LoadValue is the utilization in a constant report, and LoadLag the
	// interval at which a lagging report is updated.
	LoadReport LoadReport         `json:"load"`
	LoadValue  float64            `json:"load_value"`
	LoadLag    validator.Duration `json:"load_lag"`
	// ErrorProbability is the probability, from 0 to 1, that a request fails with status 500 although /health reports
	// success.
	ErrorProbability float64 `json:"failing"`
	// RestartTime is the time for which a crashed server refuses connections.
	RestartTime validator.Duration `json:"restart_time"`
	// Frozen makes the server accept connections but send neither responses nor announcements.
	Frozen bool `json:"frozen"`
	// Draining is announced and reported by /health; the server still serves requests that arrive.
	Draining bool `json:"draining"`
	// HealthLags makes /health still report "ok" while the server drains.
	HealthLags bool `json:"health_lags"`
}

func (s ServerSettings) check() error {
	switch {
	case s.ServiceTime < 0, s.ConnectCost < 0, s.ProbeCost < 0, s.ColdStart < 0, s.ColdFactor < 0, s.QueueLimit < 0,
		s.LoadLag < 0, s.RestartTime < 0:
		return errors.New("durations, factors and counts must not be negative")
	case s.ErrorProbability < 0 || s.ErrorProbability > 1:
		return errors.Errorf("failing is %g; allowed: 0 to 1", s.ErrorProbability)
	}
	return nil
}

// Settings returns the settings in force.
func (s *Server) Settings() ServerSettings {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.settings
}

// Change edits the settings and announces the server immediately. It returns an error and changes nothing if the edited
// settings are invalid.
func (s *Server) Change(edit func(*ServerSettings)) error {
	return s.change(func(settings *ServerSettings) error { edit(settings); return nil })
}

// ChangeJSON sets the fields that a JSON object holds and keeps the others. It returns an error and changes nothing if
// a field is unknown or the edited settings are invalid.
func (s *Server) ChangeJSON(data []byte) error {
	return s.change(func(settings *ServerSettings) error {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		return errors.Wrap(decoder.Decode(settings), "decode settings")
	})
}

func (s *Server) change(edit func(*ServerSettings) error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	edited := s.settings
	if err := edit(&edited); err != nil {
		return err
	}
	if err := edited.check(); err != nil {
		return err
	}
	s.settings = edited
	s.notifyChange()
	return nil
}

// Drain announces the server as draining. It still serves requests that arrive.
func (s *Server) Drain() { s.set(func(settings *ServerSettings) { settings.Draining = true }) }

// Freeze stops all responses and announcements until Thaw.
func (s *Server) Freeze() { s.set(func(settings *ServerSettings) { settings.Frozen = true }) }

// Thaw ends a freeze.
func (s *Server) Thaw() { s.set(func(settings *ServerSettings) { settings.Frozen = false }) }

func (s *Server) set(edit func(*ServerSettings)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	edit(&s.settings)
	s.notifyChange()
}
