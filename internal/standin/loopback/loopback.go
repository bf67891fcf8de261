// Package loopback reserves blocks of loopback addresses for stand-ins.
//
// The kernel gives the port of a process that has died to the next one that asks for any port at the same address.
// Where several clusters run on one machine, a client of the first may so reach a server of the second under an address
// that it was told for a dead server of its own. A Block keeps the addresses of one cluster, whether its servers run or
// not, against every other process that reserves its addresses here.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	// MaxHost is the last host of a block that a stand-in may use.
	MaxHost = 253
	// guardHost and guardPort are where a block's owner listens: nobody else can, so the block is nobody else's.
	guardHost = 254
	guardPort = 19999
	// PortsOfHost is how many ports a host of a block has. They begin at firstPort or a multiple of PortsOfHost above.
	PortsOfHost = 20
	firstPort   = 20000
	portBlocks  = 500
	// reserveAttempts bounds the blocks that are tried; one of them is free unless most of the 64,516 are in use.
	reserveAttempts = 64
)

// ErrNoBlock is the error where no free block was found.
var ErrNoBlock = errors.New("no free block of loopback addresses")

// Block is 127.a.b.0/24. It belongs to this process until Close.
type Block struct {
	prefix   [3]byte // of its addresses
	basePort int     // drawn, as a program that listens at all addresses may have any one port
	guard    net.Listener
}

// Reserve gives a block that no other process has reserved.
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

// IP is the address of a host of the block, from 1 to MaxHost.
func (b *Block) IP(host int) string {
	return netip.AddrFrom4([4]byte{b.prefix[0], b.prefix[1], b.prefix[2], byte(host)}).String()
}

// Port is the nth port, from 0, of those that each host of the block may listen at. None is in the ephemeral range.
func (b *Block) Port(n int) int { return b.basePort + n }

// Address is the nth port at a host.
func (b *Block) Address(host, n int) string { return fmt.Sprintf("%s:%d", b.IP(host), b.Port(n)) }

// HostOf is the host that an address belongs to; ok is false for an address of another block.
func (b *Block) HostOf(address netip.Addr) (host int, ok bool) {
	bytes := address.Unmap().As4()
	return int(bytes[3]), [3]byte(bytes[:3]) == b.prefix
}

// Name tells the block from all others that are reserved at the same time.
func (b *Block) Name() string { return fmt.Sprintf("%d.%d", b.prefix[1], b.prefix[2]) }

// Close gives the block up.
func (b *Block) Close() error { return b.guard.Close() }
