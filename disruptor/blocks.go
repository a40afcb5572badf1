package disruptor

import (
	"net/netip"
	"sync"
)

// blockedFlow is a direction of one client, or of all clients of its address if the port is zero.
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
	everyPort := netip.AddrPortFrom(client.Addr(), 0)
	return b.blocked[blockedFlow{client, d}] || b.blocked[blockedFlow{everyPort, d}]
}
