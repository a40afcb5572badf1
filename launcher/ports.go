package launcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// The ports of processes lie below the kernel's range of ephemeral ports. An outgoing connection could take a port of
// that range between the check and the start of the process.
const (
	firstPort = 12000
	lastPort  = 32000
	// portBlock is the number of ports that a program reserves at once.
	portBlock = 400
)

// ports allocates each port at most once. Programs that run at the same time use different blocks; otherwise another
// program could take the port of a killed process before that process is started again.
var ports struct {
	sync.Mutex
	free []uint16
	// blockLocks are the listeners that keep the blocks reserved until this program exits.
	blockLocks []net.Listener
}

func nextPort() (uint16, error) {
	ports.Lock()
	defer ports.Unlock()
	if len(ports.free) == 0 {
		if err := reserveBlock(); err != nil {
			return 0, err
		}
	}
	port := ports.free[0]
	ports.free = ports.free[1:]
	return port, nil
}

// reserveBlock reserves a block of ports, using a listener on an abstract Unix socket with the block's number as a
// lock.
func reserveBlock() error {
	for _, block := range rand.Perm((lastPort - firstPort) / portBlock) {
		lock, err := net.Listen("unix", fmt.Sprintf("@hibiscusline-ports-%d", block))
		if err != nil {
			continue
		}
		ports.blockLocks = append(ports.blockLocks, lock)
		for i := range portBlock {
			ports.free = append(ports.free, uint16(firstPort+block*portBlock+i))
		}
		return nil
	}
	return errors.New("all port blocks are reserved by running programs")
}

// FreeAddress returns a loopback address whose port is free for both TCP and UDP. It returns an error if no port block
// is left or the first 100 ports it tries are in use.
func FreeAddress() (netip.AddrPort, error) {
	const attempts = 100
	var lastErr error
	for range attempts {
		port, err := nextPort()
		if err != nil {
			return netip.AddrPort{}, err
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if lastErr = checkFree(address); lastErr == nil {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.Wrap(lastErr, "find a free port")
}

func checkFree(address netip.AddrPort) error {
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err == nil {
		err = udp.Close()
	}
	if closeErr := tcp.Close(); err == nil {
		err = closeErr
	}
	return err
}
