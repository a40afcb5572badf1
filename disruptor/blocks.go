package disruptor

import (
	"net/netip"
	"sync"
)

type block struct {
	client    netip.AddrPort
	direction Direction
}

// blocks holds the UDP clients whose datagrams are dropped, by direction. The zero value blocks nothing.
type blocks struct {
	mu      sync.Mutex
	blocked map[block]bool
}

func (b *blocks) set(client netip.AddrPort, d Direction, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked == nil {
		b.blocked = map[block]bool{}
	}
	b.blocked[block{client, d}] = on
}

func (b *blocks) has(client netip.AddrPort, d Direction) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blocked[block{client, d}]
}
