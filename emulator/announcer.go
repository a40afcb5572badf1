package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// Announcement is the JSON body with which a server registers at the hibiscusd process on its machine.
type Announcement struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"connections"`
	// Fenced says that the server rejects requests with an outdated epoch.
	Fenced bool `json:"fenced"`
	// State is "active" or "draining".
	State string `json:"state"`
}

// Announce announces the server every second, and immediately after a change, until the context ends. It sends nothing
// while the server is down or frozen. A failed announcement is counted and retried at the next interval.
func (s *Server) Announce(ctx context.Context) {
	if !s.config.Router.IsValid() {
		return
	}
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a, silent, changed := s.announcement()
		if !silent {
			s.countAnnouncement(s.post(ctx, client, a))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

func (s *Server) announcement() (Announcement, bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := Announcement{
		Service: s.config.Service, Address: s.address.String(), Slots: s.config.Slots,
		MaxConnections: s.config.MaxConnections, Fenced: s.config.Fenced, State: "active",
	}
	if s.settings.Draining {
		a.State = "draining"
	}
	return a, s.down || s.settings.Frozen, s.changed
}

func (s *Server) post(ctx context.Context, client *http.Client, a Announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	url := "http://" + s.config.Router.String() + "/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	const maxMessage = 4096
	message, err := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("announcement answered with status %d: %s", response.StatusCode, bytes.TrimSpace(message))
	}
	return nil
}

func (s *Server) countAnnouncement(err error) {
	s.count(func(c *ServerCounts) {
		c.Announcements++
		c.LastAnnouncementError = ""
		if err != nil {
			c.AnnouncementErrors++
			c.LastAnnouncementError = err.Error()
		}
	})
}
