//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the databases, as the sheet of the small deployment gives them.
const (
	dbSlots           = 2
	dbQueue           = 16
	dbConnections     = 16
	dbHandshake       = 12 * time.Millisecond
	dbWork            = 3 * time.Millisecond
	dbApplyLag        = 20 * time.Millisecond
	dbPromoteTime     = 600 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	replicateInterval = 2 * time.Millisecond
	maxKeptData       = 4 << 10 // longer data is not read by any case
)

// entry is a commit in a database's log.
type entry struct {
	term, number uint64
	id           string // of the client's statement
	item, data   string
	receivedAt   time.Time // by the database that has the log
}

// group is the databases of a service: one primary and its replicas.
type group struct {
	service  string
	rec      *recorder
	controls func() []string

	mu         sync.Mutex
	term       uint64
	token      uint64 // highest fencing token seen
	databases  []*database
	primary    *database
	promotions []promotion
	slowUntil  time.Time // until then the platform answers no promotion order
	closed     bool
}

// promotion is a change of primary, with the log that the new primary had.
type promotion struct {
	at  time.Time
	id  string
	log []entry
}

// database is one process of a group. group.mu guards its fields.
type database struct {
	group     *group
	id, zone  string
	addr      string
	born      int64
	sequence  int
	listener  net.Listener
	conns     map[net.Conn]bool
	log       []entry
	paused    bool      // until RESUME, a promotion or its restart
	deafUntil time.Time // receives nothing until then
	cutUntil  time.Time // no machine of the system reaches it until then
	down      bool
	busy      int // statements that run or wait
	slots     chan struct{}
	beat      chan struct{} // a heartbeat is due at once
}

func newGroup(rec *recorder, service string, ip string, zones []string, controls func() []string) (*group, error) {
	g := &group{service: service, rec: rec, controls: controls, term: 1}
	for i, zone := range zones {
		d := &database{group: g, id: fmt.Sprintf("i-%s-%d", service, i), zone: zone}
		if err := d.start(ip + ":0"); err != nil {
			return nil, err
		}
		g.databases = append(g.databases, d)
	}
	g.primary = g.databases[0]
	go g.replicate()
	return g, nil
}

// start starts the process of a database, which knows nothing but the log that it has.
func (d *database) start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	d.listener, d.addr = l, l.Addr().String()
	d.born, d.sequence = time.Now().UnixMilli(), 0
	d.conns, d.slots, d.busy = map[net.Conn]bool{}, make(chan struct{}, dbSlots), 0
	d.beat = make(chan struct{}, 1)
	d.paused, d.down = false, false
	go d.accept(l)
	go d.heartbeats(d.born)
	return nil
}

func (d *database) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// crash ends the process of a database. Its log stays.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.crashLocked()
}

func (d *database) crashLocked() {
	if d.down {
		return
	}
	d.down = true
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.group.rec.add(d.id, "crashes with log up to %s", d.received())
}

// restart starts the database again under its id at its address, with or without its log.
func (d *database) restart(keepLog bool) error {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if !keepLog {
		d.log = nil
	}
	d.group.rec.add(d.id, "starts again at its address, with log up to %s", d.received())
	return d.start(d.addr)
}

// received returns the position up to which the database has received the log. group.mu is held.
func (d *database) received() string { return positionOf(d.log) }

func positionOf(log []entry) string {
	if len(log) == 0 {
		return "-"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// applied returns the part of the log that reads see. group.mu is held.
func (d *database) applied() []entry {
	if d.group.primary == d {
		return d.log
	}
	n := len(d.log)
	for n > 0 && time.Since(d.log[n-1].receivedAt) < dbApplyLag {
		n--
	}
	return d.log[:n]
}

func (d *database) deaf() bool { return d.down || d.paused || time.Now().Before(d.deafUntil) }

// replicate passes the primary's log on to the replicas that receive.
func (g *group) replicate() {
	for {
		time.Sleep(replicateInterval)
		g.mu.Lock()
		if g.closed {
			g.mu.Unlock()
			return
		}
		g.replicateLocked()
		g.mu.Unlock()
	}
}

func (g *group) replicateLocked() {
	if g.primary.down {
		return
	}
	for _, d := range g.databases {
		if d == g.primary || d.deaf() {
			continue
		}
		for n := len(d.log); n < len(g.primary.log); n++ {
			e := g.primary.log[n]
			e.receivedAt = time.Now()
			d.log = append(d.log, e)
		}
	}
}

// heartbeats reports the database to control until the process that started at born has ended.
func (d *database) heartbeats(born int64) {
	client := &http.Client{Timeout: time.Second}
	for {
		d.awaitPath()
		d.group.mu.Lock()
		if d.group.closed || d.down || d.born != born {
			d.group.mu.Unlock()
			return
		}
		d.sequence++
		role := "replica"
		if d.group.primary == d {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"Service": d.group.service, "Address": d.addr, "Zone": d.zone, "Version": "v1", "Slots": dbSlots, "State": "ready",
			"ColdRemainingMs": 0, "DatabaseRole": role, "Sequence": d.sequence, "born": d.born,
		})
		beat := d.beat
		d.group.mu.Unlock()
		controls := d.group.controls()
		rand.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
		for _, addr := range controls {
			resp, err := client.Post("http://"+addr+"/citronrun/instances/"+d.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode < 300 {
				break
			}
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-beat:
		}
	}
}

// promote carries out a promotion order and returns its HTTP status.
func (g *group) promote(id string, token uint64, holder string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := g.checkOrder(id, token)
	g.rec.add("platform", "promotion of %s with token %d by %s: %d", id, token, holder, status)
	return status
}

func (g *group) checkOrder(id string, token uint64) int {
	if token < g.token {
		return http.StatusConflict
	}
	g.token = token
	for _, d := range g.databases {
		if d.id != id {
			continue
		}
		if d.down {
			return http.StatusConflict
		}
		if d != g.primary {
			time.AfterFunc(dbPromoteTime, func() { g.lead(d) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes a database the primary of the next term with the log that it has received. An order that was accepted is
// carried out: later ones for the present primary change nothing.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || d == g.primary {
		return
	}
	g.term++
	g.primary = d
	d.paused, d.deafUntil = false, time.Time{}
	g.promotions = append(g.promotions, promotion{time.Now(), d.id, slices.Clone(d.log)})
	g.rec.add(d.id, "leads term %d with log up to %s", g.term, d.received())
	for _, other := range g.databases {
		if other != d {
			other.log = slices.Clone(d.log[:min(len(d.log), commonLength(d.log, other.log))])
		}
		other.paused = false
		select {
		case other.beat <- struct{}{}:
		default:
		}
	}
}

// commonLength returns the number of entries with which both logs begin.
func commonLength(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].term == b[n].term && a[n].number == b[n].number {
		n++
	}
	return n
}

func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, d := range g.databases {
		d.crashLocked()
	}
}

// connection is the state of a connection to a database.
type connection struct {
	d        *database
	conn     net.Conn
	tenant   string
	state    string
	readOnly bool
	writes   []entry
	prepared map[string]string // kind of each prepared statement
}

// serve answers the messages of a connection.
func (d *database) serve(conn net.Conn) {
	defer conn.Close()
	d.group.mu.Lock()
	full, down := len(d.conns) >= dbConnections, d.down
	d.conns[conn] = true
	d.group.mu.Unlock()
	defer func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		delete(d.conns, conn)
	}()
	r := bufio.NewReaderSize(conn, 64<<10)
	d.awaitPath()
	start, err := readLine(r)
	if err != nil || down {
		return
	}
	fields := strings.Fields(start.rest)
	switch {
	case full:
		fmt.Fprintf(conn, "ERROR OVERLOAD %s\r\n", d.id)
		return
	case start.word != "START" || len(fields) < 2 || fields[0] != d.group.service || len(fields) > 2 && fields[2] != d.id:
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", d.id)
		return
	}
	d.work(dbHandshake)
	c := &connection{d: d, conn: conn, tenant: fields[1], state: "I", prepared: map[string]string{}}
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", c.position()); err != nil {
		return
	}
	for {
		m, err := readLine(r)
		if err != nil || m.word != "QUERY" {
			return
		}
		d.awaitPath()
		id, text, _ := strings.Cut(m.rest, " ")
		rows, code := c.run(id, text)
		out := &bytes.Buffer{}
		for _, row := range rows {
			fmt.Fprintf(out, "ROW %s\r\n", row)
		}
		if code != "" {
			if c.state == "T" {
				c.state = "E"
			}
			fmt.Fprintf(out, "ERROR %s %s\r\n", code, d.id)
		} else {
			fmt.Fprintf(out, "COMPLETE %d.%x\r\n", len(rows), rand.Uint64())
		}
		fmt.Fprintf(out, "READY %s %s\r\n", c.state, c.position())
		if id != "-" {
			d.group.rec.add(d.id, "runs %.48s: %s rows %d, now %s", m.rest, code, len(rows), c.position())
		}
		if _, err := conn.Write(out.Bytes()); err != nil {
			return
		}
	}
}

// work occupies a slot for some time. It reports false if too much work waits.
func (d *database) work(t time.Duration) bool {
	d.group.mu.Lock()
	slots := d.slots
	if d.busy >= dbSlots+dbQueue {
		d.group.mu.Unlock()
		return false
	}
	d.busy++
	d.group.mu.Unlock()
	slots <- struct{}{}
	time.Sleep(t)
	<-slots
	d.group.mu.Lock()
	d.busy--
	d.group.mu.Unlock()
	return true
}

func (c *connection) position() string {
	c.d.group.mu.Lock()
	defer c.d.group.mu.Unlock()
	return positionOf(c.d.applied())
}

func (c *connection) isPrimary() bool {
	c.d.group.mu.Lock()
	defer c.d.group.mu.Unlock()
	return c.d.group.primary == c.d
}

// reached reports whether reads see the log up to a position.
func (c *connection) reached(position string) bool {
	c.d.group.mu.Lock()
	defer c.d.group.mu.Unlock()
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	log := c.d.applied()
	if len(log) == 0 {
		return number == 0
	}
	last := log[len(log)-1]
	return last.term > term || last.term == term && last.number >= number
}

// run runs a statement. An empty code means success.
func (c *connection) run(id, text string) (rows []string, code string) {
	word, args, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "MALFORMED"
	}
	if word == "AFTER" {
		position, rest, _ := strings.Cut(args, " ")
		if !c.reached(position) {
			return nil, "LAGGING"
		}
		word, args, _ = strings.Cut(rest, " ")
	}
	name, rest, _ := strings.Cut(args, " ")
	switch word {
	case "SET", "DEALLOCATE":
	case "RESET":
		clear(c.prepared)
	case "PREPARE":
		c.prepared[name], _, _ = strings.Cut(rest, " ")
	case "BEGIN":
		c.readOnly = args == "READ"
		if !c.readOnly && !c.isPrimary() {
			return nil, "READONLY"
		}
		c.state, c.writes = "T", nil
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "COMMIT":
		failed := c.state == "E"
		c.state = "I"
		writes := c.writes
		c.writes = nil
		if failed {
			return nil, "ABORTED"
		}
		return nil, c.commit(writes)
	case "READ":
		return c.read(args)
	case "WRITE":
		return nil, c.write(entry{id: id, item: name, data: rest})
	case "EXECUTE":
		kind, ok := c.prepared[name]
		if !ok {
			return nil, "UNPREPARED"
		}
		if kind == "READ" {
			return c.read(rest)
		}
		item, data, _ := strings.Cut(rest, " ")
		return nil, c.write(entry{id: id, item: item, data: data})
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.manage(word)
	default:
		return nil, "MALFORMED"
	}
	return nil, ""
}

func (c *connection) read(item string) ([]string, string) {
	if c.state == "T" && !c.readOnly && !c.isPrimary() {
		return nil, "READONLY"
	}
	if !c.d.work(dbWork) {
		return nil, "BUSY"
	}
	c.d.group.mu.Lock()
	defer c.d.group.mu.Unlock()
	data := "-"
	for _, e := range append(slices.Clone(c.d.applied()), c.writes...) {
		if e.item == item {
			data = e.data
		}
	}
	return []string{data}, ""
}

func (c *connection) write(e entry) string {
	if !c.isPrimary() || c.state == "T" && c.readOnly {
		return "READONLY"
	}
	if c.state == "T" {
		if !c.d.work(dbWork) {
			return "BUSY"
		}
		c.writes = append(c.writes, e)
		return ""
	}
	return c.commit([]entry{e})
}

// commit appends writes to the log, and returns once a replica has received them.
func (c *connection) commit(writes []entry) string {
	if len(writes) == 0 {
		return ""
	}
	if !c.d.work(dbWork) {
		return "BUSY"
	}
	g, d := c.d.group, c.d
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != d || d.down {
		return "READONLY"
	}
	for _, e := range writes {
		e.term, e.number, e.receivedAt = g.term, 1, time.Now()
		e.data = strings.Clone(e.data[:min(len(e.data), maxKeptData)])
		if n := len(d.log); n > 0 {
			e.number = d.log[n-1].number + 1
		}
		d.log = append(d.log, e)
	}
	last, term := d.log[len(d.log)-1], g.term
	for {
		g.replicateLocked()
		for _, r := range g.databases {
			if r != d && !r.down && len(r.log) > 0 && r.log[len(r.log)-1].number >= last.number && g.term == term {
				return ""
			}
		}
		g.mu.Unlock()
		time.Sleep(replicateInterval)
		g.mu.Lock()
		switch {
		case d.down:
			return "FAILED" // the connection is closed, so that nobody gets this
		case g.term != term:
			if slices.ContainsFunc(g.primary.log, func(e entry) bool { return e.term == last.term && e.number == last.number }) {
				return ""
			}
			return "READONLY"
		}
	}
}

// manage runs the statements by which the system manages a database.
func (c *connection) manage(word string) ([]string, string) {
	if word == "STATUS" && !c.d.work(time.Millisecond) {
		return nil, "BUSY"
	}
	g, d := c.d.group, c.d
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "primary"
	if g.primary != d {
		role = "replica"
		switch word {
		case "PAUSE":
			d.paused = true
		case "RESUME":
			d.paused = false
		}
	}
	if word == "PAUSE" || word == "RESUME" {
		g.rec.add(d.id, "%s: %s with log up to %s", word, role, d.received())
	}
	return []string{fmt.Sprintf("%s %d %s 0 %d %d %d", role, g.term, d.received(), dbApplyLag.Milliseconds(), d.busy, len(d.conns))}, ""
}
