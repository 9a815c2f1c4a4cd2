package world

import (
	"math/rand/v2"
	"net"
)

// headerBytes is the length of the IP and UDP headers of a packet.
const headerBytes = 28

// packetConn counts the bytes that daemons send and drops some packets.
type packetConn struct {
	net.PacketConn
	world *World
}

func (w *World) wrapLink(socket net.PacketConn) net.PacketConn {
	return &packetConn{PacketConn: socket, world: w}
}

// WriteTo sends the packet, or drops it with probability LinkLoss.
func (p *packetConn) WriteTo(packet []byte, to net.Addr) (int, error) {
	p.world.linkBytes.Add(int64(len(packet) + headerBytes))
	if p.world.LinkLoss > 0 && rand.Float64() < p.world.LinkLoss {
		return len(packet), nil
	}
	return p.PacketConn.WriteTo(packet, to)
}

// LinkBytes returns the number of bytes that all daemons have sent to each other,
// including headers.
func (w *World) LinkBytes() int64 { return w.linkBytes.Load() }
