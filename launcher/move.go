package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/hasher"
	"hibiscusline/reporter"
)

// Owner returns the member that owns a key, and the other active members of the service. It returns an error if the key
// has no owner.
func (f *Fleet) Owner(ctx context.Context, service, key string) (owner applier.Member, others []applier.Member, err error) {
	state, err := f.State(ctx)
	if err != nil {
		return applier.Member{}, nil, err
	}
	state.View(func(s *applier.State) {
		a, _ := s.Lookup(service, hasher.KeyPosition(key))
		for _, m := range s.MembersOf(service) {
			if m.ID == a.Owner {
				owner = *m
			} else if m.Status == applier.Active {
				others = append(others, *m)
			}
		}
	})
	if owner.ID == 0 {
		return owner, others, errors.Errorf("key %q of service %s has no owner", key, service)
	}
	return owner, others, nil
}

// Move moves the range of a key to another member and returns when the range has moved. Like hibiscusctl, it sends the
// request to the admin endpoint of the owner.
func (f *Fleet) Move(ctx context.Context, admin netip.AddrPort, service, key string, to applier.MemberID) error {
	body, err := json.Marshal(reporter.MoveRequest{Service: service, Position: hasher.KeyPosition(key), To: to})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin.String()+"/move", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "move")
	}
	responseBody, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err == nil && response.StatusCode != http.StatusNoContent {
		err = errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(responseBody))
	}
	return errors.Wrap(err, "move")
}

// Crash ends the backend server and hibiscusd abruptly, as if their instance had failed.
func (n *Node) Crash() error {
	n.Server.Crash()
	err := n.Kill()
	n.StopServer()
	return err
}
