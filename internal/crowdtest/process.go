// Package crowdtest starts citrond as a process of its own and measures its memory and descriptors, for tests with
// clients that don't keep to the limits.
package crowdtest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sampleInterval is the interval at which a process is measured.
const sampleInterval = 20 * time.Millisecond

// Build builds citrond into a folder of the test and returns the path of the binary.
func Build(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "citrond")
	out, err := exec.Command("go", "build", "-o", file, "github.com/citronrun/citronrun/cmd/citrond").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return file
}

// Process is a running citrond.
type Process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    string
	exited chan struct{}

	mu          sync.Mutex
	memory      int64 // bytes, greatest sum of resident memory and unread bytes
	unread      int64 // bytes, greatest
	descriptors int   // greatest
}

// Start starts the binary, measures it until it ends, and kills it at the end of the test. addrs are the addresses
// IP:PORT at which it accepts clients; bytes that have arrived there and are not read count as its memory.
func Start(t *testing.T, env, args, addrs []string) *Process {
	t.Helper()
	p := &Process{t: t, cmd: exec.Command(args[0], args[1:]...), log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-p.exited:
				return
			case <-time.After(sampleInterval):
				p.sample(addrs)
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("end of the log:\n%s", p.tail())
		}
	})
	return p
}

// AwaitStart repeats attempts until one succeeds, before a crowd begins. It fails the test if the process ends. The time
// depends on the machine, therefore only the time limit of the test binary bounds it.
func (p *Process) AwaitStart(what string, attempt func() bool) {
	p.t.Helper()
	const attemptInterval, reportTime = 50 * time.Millisecond, 15 * time.Second
	limit, limited := p.t.Deadline()
	for !attempt() {
		select {
		case <-p.exited:
			p.t.Fatalf("%s: the process has ended: %v", what, p.cmd.ProcessState)
		case <-time.After(attemptInterval):
		}
		if limited && time.Until(limit) < reportTime {
			p.t.Fatalf("%s: not before the time limit of the test binary", what)
		}
	}
}

// tail returns the last lines of the log.
func (p *Process) tail() string {
	const shown = 2000
	data, _ := os.ReadFile(p.log)
	return string(data[max(0, len(data)-shown):])
}

func (p *Process) sample(addrs []string) {
	resident, err := p.status("VmRSS:")
	if err != nil {
		return // it has ended
	}
	unread := unreadBytes(addrs)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory = max(p.memory, resident+unread)
	p.unread = max(p.unread, unread)
	p.descriptors = max(p.descriptors, len(open))
}

// status returns a field of /proc/PID/status in bytes.
func (p *Process) status(field string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("no %s", field)
}

// unreadBytes returns the bytes in the receive buffers of the connections to the given addresses.
func unreadBytes(addrs []string) (sum int64) {
	local := map[string]bool{}
	for _, addr := range addrs {
		if tcp, err := net.ResolveTCPAddr("tcp4", addr); err == nil {
			ip := tcp.IP.To4()
			local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)] = true
		}
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	const listening = "0A"
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text()) // sl, local, remote, state, tx:rx, ...
		if len(fields) < 5 || !local[fields[1]] || fields[3] == listening {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += n
	}
	return sum
}

// Check fails the test if the process has ended, or has used more than memory bytes, including those that it has not
// read, or more than the given number of descriptors.
func (p *Process) Check(memory int64, descriptors int) {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Errorf("the process has ended: %v", p.cmd.ProcessState)
		return
	default:
	}
	resident, err := p.status("VmHWM:")
	if err != nil {
		p.t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	used := max(resident, p.memory)
	p.t.Logf("memory %d MB (resident %d MB, unread %d MB), %d descriptors", used>>20, resident>>20, p.unread>>20, p.descriptors)
	if used > memory {
		p.t.Errorf("used %d MB of memory, limit %d MB", used>>20, memory>>20)
	}
	if p.descriptors > descriptors {
		p.t.Errorf("used %d descriptors, limit %d", p.descriptors, descriptors)
	}
}

// Crowd is a number of connections that stay open until its end.
type Crowd struct {
	end time.Time
	wg  sync.WaitGroup
}

// NewCrowd returns a Crowd that ends after d.
func NewCrowd(d time.Duration) *Crowd { return &Crowd{end: time.Now().Add(d)} }

// Add opens count connections to addr and calls behave for each. A connection that is closed or refused is not opened
// again.
func (c *Crowd) Add(count int, addr string, behave func(conn net.Conn)) {
	for range count {
		c.wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, time.Until(c.end))
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(c.end)
			defer time.AfterFunc(time.Until(c.end), func() { _ = conn.Close() }).Stop() // a client library may clear the deadline
			behave(conn)
			<-time.After(time.Until(c.end))
		})
	}
}

// Wait waits until the crowd has ended.
func (c *Crowd) Wait() { c.wg.Wait() }

// Pieces writes data in pieces of the given size, and waits between them. It returns when a write has failed.
func Pieces(conn net.Conn, data []byte, size int, pause time.Duration) {
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
		time.Sleep(pause)
	}
}

// Repeat returns a behaviour that sends data count times, and doesn't read.
func Repeat(count int, data []byte) func(conn net.Conn) {
	return func(conn net.Conn) {
		for range count {
			if _, err := conn.Write(data); err != nil {
				return
			}
		}
	}
}
