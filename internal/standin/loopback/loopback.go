// Package loopback reserves blocks of loopback addresses for test deployments and simulated networks.
//
// The kernel may assign the port of a process that has ended to the next process that asks for any port at the same
// address. If several clusters run on one machine, a client of the first may thus reach a server of the second at the
// address of an ended server of its own. A Block reserves the addresses of one cluster, whether its servers run or not,
// against every other process that uses this package.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	// MaxHost is the highest host number of a block that may be used.
	MaxHost = 253
	// guardHost and guardPort are the address at which a block's owner listens, which excludes other owners.
	guardHost = 254
	guardPort = 19999
	// PortsOfHost is the number of ports of a host of a block. They start at firstPort or a multiple of PortsOfHost
	// above.
	PortsOfHost = 20
	firstPort   = 20000
	portBlocks  = 500
	// reserveAttempts is the number of blocks that are tried; one is free unless most of the 64,516 blocks are in use.
	reserveAttempts = 64
)

// ErrNoBlock is returned if no free block was found.
var ErrNoBlock = errors.New("no free block of loopback addresses")

// Block is a network 127.a.b.0/24, reserved for this process until Close.
type Block struct {
	prefix   [3]byte // first bytes of its addresses
	basePort int     // random, as a program that listens at all addresses may occupy any single port
	guard    net.Listener
}

// Reserve returns a block that no other process has reserved.
func Reserve() (*Block, error) {
	var err error
	for range reserveAttempts {
		b := &Block{
			prefix:   [3]byte{127, byte(1 + rand.IntN(254)), byte(1 + rand.IntN(254))},
			basePort: firstPort + rand.IntN(portBlocks)*PortsOfHost,
		}
		if b.guard, err = net.Listen("tcp4", fmt.Sprintf("%s:%d", b.IP(guardHost), guardPort)); err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrNoBlock, err)
}

// IP returns the address of a host of the block, from 1 to MaxHost.
func (b *Block) IP(host int) string {
	return netip.AddrFrom4([4]byte{b.prefix[0], b.prefix[1], b.prefix[2], byte(host)}).String()
}

// Port returns the nth port, from 0, of each host of the block. None is in the ephemeral range.
func (b *Block) Port(n int) int { return b.basePort + n }

// Address returns the address of a host's nth port.
func (b *Block) Address(host, n int) string { return fmt.Sprintf("%s:%d", b.IP(host), b.Port(n)) }

// HostOf returns the host that an address belongs to; ok is false for an address of another block.
func (b *Block) HostOf(address netip.Addr) (host int, ok bool) {
	bytes := address.Unmap().As4()
	return int(bytes[3]), [3]byte(bytes[:3]) == b.prefix
}

// Name returns a name that is unique among the blocks reserved at the same time.
func (b *Block) Name() string { return fmt.Sprintf("%d.%d", b.prefix[1], b.prefix[2]) }

// Close releases the block.
func (b *Block) Close() error { return b.guard.Close() }
