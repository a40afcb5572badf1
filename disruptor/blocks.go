package disruptor

import (
	"net/netip"
	"sync"
)

type blockedFlow struct {
	client    netip.AddrPort
	direction Direction
}

// blockList holds the UDP clients whose datagrams are dropped, by direction. The zero value blocks nothing.
type blockList struct {
	mu      sync.Mutex
	blocked map[blockedFlow]bool
}

func (b *blockList) set(client netip.AddrPort, d Direction, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked == nil {
		b.blocked = map[blockedFlow]bool{}
	}
	b.blocked[blockedFlow{client, d}] = on
}

func (b *blockList) has(client netip.AddrPort, d Direction) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blocked[blockedFlow{client, d}]
}
