package network

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

const readBufferBytes = 32 << 10

// TCP relays connections to an address with a delay in both directions.
type TCP struct {
	listener    net.Listener
	targetAddr  string
	delay       func() time.Duration
	rewritePair [2][]byte // old and new text, of equal length; empty: no replacement

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewTCP starts a relay from the address listen to targetAddr, both IP:PORT. In the stream to the
// target it replaces the text find by replace, which must have the same length; both may be empty.
func NewTCP(listen, targetAddr string, delay func() time.Duration, find, replace string) (*TCP, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	t := &TCP{listener: listener, targetAddr: targetAddr, delay: delay, conns: map[net.Conn]bool{}}
	t.rewritePair = [2][]byte{[]byte(find), []byte(replace)}
	go t.serve()
	return t, nil
}

// Addr returns the address of the relay, IP:PORT.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// Close stops the relay and its connections.
func (t *TCP) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *TCP) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.relay(c)
	}
}

func (t *TCP) relay(c net.Conn) {
	defer c.Close()
	upstream, err := net.Dial("tcp4", t.targetAddr)
	if err != nil {
		reset(c)
		return
	}
	defer upstream.Close()
	t.track(c, upstream)
	defer t.untrack(c, upstream)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { t.copyDelayed(upstream, c, done, true) })
	wg.Go(func() { t.copyDelayed(c, upstream, done, false) })
	wg.Wait()
	close(done)
}

// reset makes the later Close of a connection send RST, so that the peer gets an error and not the
// end of the stream.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (t *TCP) track(conns ...net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range conns {
		t.conns[c] = true
	}
}

func (t *TCP) untrack(conns ...net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range conns {
		delete(t.conns, c)
	}
}

// copyDelayed copies from src to dst with the relay's delay. At the end of src it delivers the
// remaining data and then closes both.
func (t *TCP) copyDelayed(dst, src net.Conn, done chan struct{}, toTarget bool) {
	delivered := make(chan struct{})
	q := &queue{items: make(chan delayedData, queueLength), done: done}
	go func() {
		defer close(delivered)
		q.run(func(chunk []byte) error {
			if chunk == nil {
				return io.EOF
			}
			_, err := dst.Write(chunk)
			return err
		})
	}()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			chunk := bytes.Clone(buf[:n])
			if toTarget && len(t.rewritePair[0]) > 0 {
				chunk = bytes.ReplaceAll(chunk, t.rewritePair[0], t.rewritePair[1])
			}
			select {
			case q.items <- delayedData{time.Now().Add(t.delay()), chunk}:
			case <-delivered:
				err = io.EOF
			}
		}
		if err != nil {
			break
		}
	}
	select {
	case q.items <- delayedData{time.Now().Add(t.delay()), nil}:
		<-delivered
	case <-delivered:
	}
	_ = dst.Close()
	_ = src.Close()
}
