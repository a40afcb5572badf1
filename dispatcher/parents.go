package dispatcher

import (
	"crypto/rand"
	"sync"
	"time"
)

// parents maps the tokens of running requests to the properties that their nested calls inherit. A token is valid only
// at the process that issued it, which runs on the same instance as the backend server that received it.
type parents struct {
	mu      sync.Mutex
	entries map[string]Parent
}

// Parent holds the properties of a running request that its nested calls inherit.
type Parent struct {
	Rank     string
	Deadline time.Time
}

func (p *parents) add(parent Parent) string {
	token := rand.Text()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries == nil {
		p.entries = map[string]Parent{}
	}
	p.entries[token] = parent
	return token
}

func (p *parents) remove(token string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, token)
}

// Parent returns the running request with a token, and whether there is one.
func (d *Dispatcher) Parent(token string) (Parent, bool) {
	d.parents.mu.Lock()
	defer d.parents.mu.Unlock()
	parent, present := d.parents.entries[token]
	return parent, present
}
