package world

import (
	"math/rand/v2"
	"net"
)

// headerBytes is what IP and UDP add to each packet.
const headerBytes = 28

// packetConn counts the packets that daemons send, and loses some.
type packetConn struct {
	net.PacketConn
	world *World
}

func (w *World) wrapLink(socket net.PacketConn) net.PacketConn {
	return &packetConn{PacketConn: socket, world: w}
}

// WriteTo sends a packet unless it is to be lost.
func (p *packetConn) WriteTo(packet []byte, to net.Addr) (int, error) {
	p.world.linkBytes.Add(int64(len(packet) + headerBytes))
	if p.world.LinkLoss > 0 && rand.Float64() < p.world.LinkLoss {
		return len(packet), nil
	}
	return p.PacketConn.WriteTo(packet, to)
}

// LinkBytes returns the bytes that all daemons have sent each other, headers
// included.
func (w *World) LinkBytes() int64 { return w.linkBytes.Load() }
