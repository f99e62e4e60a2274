//go:build review

package main

import (
	"errors"
	"net"
	"sync"
)

// maxDatagram is the largest datagram that is passed on.
const maxDatagram = 64 << 10

// passDatagrams passes datagrams that arrive at an address on to another one, and the answers back. The processes of the
// system share this machine's 127.0.0.1, where each serves its administration API at a port that follows from
// InternalPorts. Therefore each machine has internal ports of its own, and finds a seed at the seed's address with its own
// port, from where its datagrams are passed on to the port of the seed.
func passDatagrams(from, to string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp", from)
	if err != nil {
		return nil, err
	}
	remote, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	go func() {
		var mu sync.Mutex
		backs := map[string]*net.UDPConn{}
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			for _, back := range backs {
				_ = back.Close()
			}
		}()
		buf := make([]byte, maxDatagram)
		for {
			n, client, err := front.ReadFromUDP(buf)
			if err != nil {
				return
			}
			back := backs[client.String()]
			if back == nil {
				if back, err = net.DialUDP("udp", nil, remote); err != nil {
					continue
				}
				mu.Lock()
				backs[client.String()] = back
				mu.Unlock()
				go passBack(front, back, client)
			}
			_, _ = back.Write(buf[:n])
		}
	}()
	return front, nil
}

func passBack(front, back *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := back.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the process is down
		}
		_, _ = front.WriteToUDP(buf[:n], client)
	}
}
