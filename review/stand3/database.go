package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one entry of a database's log.
type commit struct {
	term   uint64
	id     string // of the statement that committed
	writes [][2]string
}

// service is a group of databases, of which one is the primary. Its mutex guards all of its databases.
type service struct {
	w    *world
	name string
	dbs  []*database

	mu      sync.Mutex
	changed *sync.Cond
	seen    uint64 // highest fencing token that the platform has seen
}

// database is a stand-in for one database process.
type database struct {
	svc   *service
	label string
	id    string
	addr  string
	zone  string

	running      bool
	starts       int
	bornMs       int64
	sequence     uint64
	primary      bool
	term         uint64
	pausedAt     uint64 // term of a PAUSE in force; 0: none
	deaf         bool   // receives nothing
	cut          bool   // partitioned from all machines of the system, but not from the other databases
	perTick      int    // commits that it receives in a tick of replication
	log          []commit
	busy         int
	listener     net.Listener
	conns        map[net.Conn]bool
	calls        []*host       // whom it sends heartbeats, in this order
	beatNow      chan struct{} // a value makes it send the next heartbeat at once
	leaving      bool          // it reports that it is draining
	leavingAcked time.Time     // when that was acknowledged; zero: not yet
}

const (
	slots            = 2
	connectionLimit  = 16
	openTime         = 12 * time.Millisecond
	workTime         = 4 * time.Millisecond
	replicationTick  = 5 * time.Millisecond
	promoteTime      = 600 * time.Millisecond
	heartbeatTimeout = time.Second
	heartbeatPeriod  = 1200 * time.Millisecond
	drainTime        = 7 * time.Second // DrainMs
)

// newService returns a service whose databases have addresses from the given last number on.
func newService(w *world, name string, ip int, labels ...string) *service {
	s := &service{w: w, name: name}
	s.changed = sync.NewCond(&s.mu)
	for i, label := range labels {
		d := &database{svc: s, label: label, id: fmt.Sprintf("i-%s%d", label, 1000+i), zone: zones[i%len(zones)], perTick: 1 << 20, calls: w.control, beatNow: make(chan struct{}, 1)}
		d.addr = w.addr(w.ip(ip+i), 30)
		s.dbs = append(s.dbs, d)
	}
	s.dbs[0].primary = true
	for _, d := range s.dbs {
		d.term = 1
	}
	go s.replicate()
	return s
}

// start starts the process of a database. A primary keeps its log, and so does a replica with keepLog.
func (d *database) start(keepLog bool) {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.svc.w.fail(err)
	}
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	d.running, d.listener, d.conns = true, l, map[net.Conn]bool{}
	d.starts++
	d.bornMs, d.sequence, d.busy, d.pausedAt = time.Now().UnixMilli(), 0, 0, 0
	if !keepLog {
		d.log = nil
	}
	go d.accept(l)
	go d.sendHeartbeats(d.starts)
	d.svc.w.note("database %s starts as %s, born %d, log of %d commits", d.label, d.id, d.bornMs, len(d.log))
}

// crash ends the process of a database at once.
func (d *database) crash() {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	d.running = false
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	d.svc.changed.Broadcast()
	d.svc.w.note("database %s crashes with %d commits in its log", d.label, len(d.log))
}

// set changes fields of a database.
func (d *database) set(change func()) {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	change()
}

// replicate passes the log of the primary on.
func (s *service) replicate() {
	for range time.Tick(replicationTick) {
		s.mu.Lock()
		for _, p := range s.dbs {
			if !p.running || !p.primary {
				continue
			}
			for _, r := range s.dbs {
				if r != p && r.running && !r.primary && !r.deaf && r.pausedAt == 0 && r.term <= p.term && len(r.log) < len(p.log) {
					r.log = append(r.log, p.log[len(r.log):min(len(p.log), len(r.log)+r.perTick)]...)
					r.term = p.term
				}
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

// promote makes a database the primary, as the platform does.
func (s *service) promote(d *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.running || d.primary {
		return
	}
	term := uint64(0)
	for _, o := range s.dbs {
		term = max(term, o.term)
		o.primary = false
	}
	d.term, d.primary = term+1, true
	for _, o := range s.dbs {
		o.pausedAt = 0
		if o != d && len(o.log) > len(d.log) {
			o.log = o.log[:len(d.log):len(d.log)]
		}
	}
	s.w.checkPromoted(d)
	s.changed.Broadcast()
}

func (d *database) sendHeartbeats(start int) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for next := 0; ; {
		d.svc.mu.Lock()
		if !d.running || d.starts != start {
			d.svc.mu.Unlock()
			return
		}
		cut, to, role := d.cut, d.calls[next%len(d.calls)], "replica"
		if d.primary {
			role = "primary"
		}
		d.sequence++
		state := "ready"
		if d.leaving {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{"Service": d.svc.name, "Address": d.addr, "Zone": d.zone, "Version": "v1", "Slots": slots,
			"State": state, "ColdRemainingMs": 0, "DatabaseRole": role, "Sequence": d.sequence, "born": d.bornMs})
		d.svc.mu.Unlock()
		if cut {
			time.Sleep(heartbeatTimeout) // without a response
			next++
			continue
		}
		resp, err := client.Post("http://"+to.controlAddr+"/citronrun/instances/"+d.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode >= 300 {
			next++
			continue
		}
		if state == "draining" {
			d.set(func() {
				if d.leavingAcked.IsZero() {
					d.leavingAcked = time.Now()
					d.svc.w.note("the heartbeat by which %s reports that it is draining is acknowledged by %s", d.id, to.name)
				}
			})
		}
		select {
		case <-time.After(heartbeatPeriod):
		case <-d.beatNow:
		}
	}
}

func (d *database) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// dbSession is one connection to a database.
type dbSession struct {
	d        *database
	start    int
	conn     net.Conn
	open     bool // a transaction block is open
	readOnly bool
	failed   bool
	writes   [][2]string
	prepared map[string]string
}

func (d *database) serve(c net.Conn) {
	defer c.Close()
	d.svc.mu.Lock()
	if !d.running {
		d.svc.mu.Unlock()
		return
	}
	d.conns[c] = true
	start, count := d.starts, len(d.conns)
	d.svc.mu.Unlock()
	defer d.set(func() { delete(d.conns, c) })
	r := bufio.NewReaderSize(c, 1<<20)
	line, err := r.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "START" {
		return
	}
	switch {
	case fields[1] != d.svc.name || len(fields) > 3 && fields[3] != d.id:
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", d.id)
		return
	case count > connectionLimit:
		fmt.Fprintf(c, "ERROR OVERLOAD %s\r\n", d.id)
		return
	}
	time.Sleep(openTime)
	if !d.awaitUncut(start) {
		return
	}
	s := &dbSession{d: d, start: start, conn: c, prepared: map[string]string{}}
	fmt.Fprintf(c, "READY I %s\r\n", s.position())
	for {
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "QUERY ") || !d.awaitUncut(start) {
			return
		}
		id, text, _ := strings.Cut(strings.TrimSuffix(line[len("QUERY "):], "\r\n"), " ")
		if _, err := c.Write([]byte(s.answer(id, text))); err != nil {
			return
		}
	}
}

// awaitUncut waits until the database isn't cut off. It returns false if the process that was started as the given one has ended.
func (d *database) awaitUncut(start int) bool {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	for d.cut && d.running && d.starts == start {
		d.svc.changed.Wait()
	}
	return d.running && d.starts == start
}

// position returns the position of the last entry of the log.
func (s *dbSession) position() string {
	s.d.svc.mu.Lock()
	defer s.d.svc.mu.Unlock()
	return s.d.position()
}

func (d *database) position() string {
	if len(d.log) == 0 {
		return "0.0"
	}
	return fmt.Sprintf("%d.%d", d.log[len(d.log)-1].term, len(d.log))
}

// answer runs a statement and returns the messages of its response.
func (s *dbSession) answer(id, text string) string {
	rows, code := s.run(id, text)
	out := ""
	for _, row := range rows {
		out += "ROW " + row + "\r\n"
	}
	switch {
	case code != "":
		out += "ERROR " + code + " " + s.d.id + "\r\n"
	case id == "-":
		out += "COMPLETE -\r\n"
	default:
		out += "COMPLETE " + s.d.id + "." + id + "\r\n"
	}
	state := "I"
	if s.failed {
		state = "E"
	} else if s.open {
		state = "T"
	}
	return out + "READY " + state + " " + s.position() + "\r\n"
}

func (s *dbSession) end() { s.open, s.readOnly, s.failed, s.writes = false, false, false, nil }

func (s *dbSession) run(id, text string) (rows []string, code string) {
	d, svc := s.d, s.d.svc
	word, rest, _ := strings.Cut(text, " ")
	after := uint64(0)
	if word == "AFTER" {
		pos, tail, _ := strings.Cut(rest, " ")
		_, num, _ := strings.Cut(pos, ".")
		after, _ = strconv.ParseUint(num, 10, 64)
		word, rest, _ = strings.Cut(tail, " ")
	}
	switch word {
	case "SET", "RESET":
		if word == "RESET" {
			clear(s.prepared)
		}
		return nil, ""
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name], _, _ = strings.Cut(shape, " ")
		return nil, ""
	case "STATUS", "PAUSE", "RESUME":
		return d.control(word, rest)
	case "ROLLBACK":
		s.end()
		return nil, ""
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		word, rest = s.prepared[name], args
		if word == "" {
			return nil, "UNPREPARED"
		}
	}
	if s.failed && word != "COMMIT" {
		return nil, "MALFORMED"
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !d.running || d.starts != s.start {
		return nil, "BUSY"
	}
	if uint64(len(d.log)) < after { // only the first statement of a block has this condition
		return nil, "LAGGING"
	}
	inBlock := s.open
	for d.busy >= slots && d.running {
		svc.changed.Wait()
	}
	d.busy++
	svc.mu.Unlock()
	time.Sleep(workTime)
	svc.mu.Lock()
	defer func() { d.busy--; svc.changed.Broadcast() }()
	svc.w.checkRun(d, id, word+" "+rest)
	if !inBlock {
		d.checkDrain(id, word+" "+rest)
	}
	item, data, _ := strings.Cut(rest, " ")
	switch {
	case word == "BEGIN":
		if rest == "" && !d.primary {
			return nil, "READONLY"
		}
		s.open, s.readOnly = true, rest != ""
		return nil, ""
	case word == "READ":
		return []string{d.read(item)}, ""
	case word == "WRITE" && (!d.primary || s.readOnly):
		s.failed = s.open
		return nil, "READONLY"
	case word == "WRITE" && s.open:
		s.writes = append(s.writes, [2]string{item, data})
		return nil, ""
	case word == "WRITE":
		return nil, d.commit(id, [][2]string{{item, data}})
	case word == "COMMIT":
		writes, failed := s.writes, s.failed
		s.end()
		switch {
		case failed:
			return nil, "ABORTED"
		case len(writes) == 0:
			return nil, ""
		case !d.primary:
			return nil, "READONLY"
		}
		return nil, d.commit(id, writes)
	}
	return nil, "MALFORMED"
}

// read returns the value of an item. The mutex is held.
func (d *database) read(item string) string {
	for i := len(d.log) - 1; i >= 0; i-- {
		for _, w := range d.log[i].writes {
			if w[0] == item {
				return w[1]
			}
		}
	}
	return "none"
}

// commit appends to the log and waits until a replica has received the entry. The mutex is held.
func (d *database) commit(id string, writes [][2]string) (code string) {
	term, number, start := d.term, len(d.log)+1, d.starts
	d.log = append(d.log, commit{term: term, id: id, writes: writes})
	for {
		if !d.running || d.starts != start || !d.primary || d.term != term {
			return "READONLY"
		}
		for _, r := range d.svc.dbs {
			if r != d && r.running && len(r.log) >= number {
				return ""
			}
		}
		d.svc.changed.Wait()
	}
}

// control runs STATUS, PAUSE or RESUME and returns the row that describes the database.
func (d *database) control(word, rest string) (rows []string, code string) {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	if !d.running {
		return nil, "BUSY"
	}
	if term, err := strconv.ParseUint(rest, 10, 64); word == "PAUSE" && err == nil && !d.primary && term > d.term {
		d.pausedAt = term
	}
	if word == "RESUME" {
		d.pausedAt = 0
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.svc.w.note("%s at %s: %s, received %s", word, d.label, role, d.position())
	return []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, d.term, d.position(), d.pausedAt, d.busy, len(d.conns))}, ""
}

// leave makes a database report that it is draining, serve for DrainMs after the acknowledgement and for more, and then leave.
func (d *database) leave(more time.Duration) {
	d.set(func() { d.leaving = true })
	d.beatNow <- struct{}{}
	acked := time.Time{}
	for acked.IsZero() {
		time.Sleep(10 * time.Millisecond)
		d.set(func() { acked = d.leavingAcked })
	}
	time.Sleep(time.Until(acked.Add(drainTime + more)))
	for _, to := range d.calls {
		resp, err := http.Post("http://"+to.controlAddr+"/citronrun/instances/"+d.id+"/leave", "application/json", nil)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode < 300 {
			d.svc.w.note("%s leaves: %d", d.id, resp.StatusCode)
			break
		}
	}
	d.crash()
}

// checkDrain checks that no statement of a client arrives later than DrainMs after the acknowledgement. The mutex is held.
func (d *database) checkDrain(id, text string) {
	late := time.Since(d.leavingAcked) - drainTime
	if d.leavingAcked.IsZero() || late <= 0 || id == "-" {
		return
	}
	w := d.svc.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("%s reaches %s %v after DrainMs", id, d.id, late.Round(time.Millisecond))
	if w.late++; w.late == 1 {
		w.broken = append(w.broken, fmt.Sprintf("DRAIN: %s (%s) reaches %s %v later than DrainMs after the acknowledgement", id, text, d.id, late.Round(time.Millisecond)))
	}
}
