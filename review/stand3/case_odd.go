package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// oddServiceCase: a heartbeat of another writer, with fields missing, has the id of a database of one service and names another
// service.
func oddServiceCase(w *world, trouble bool) {
	w.deploy(5, 4, "p", "a", "r")
	first := w.svc
	second := w.addService("kafi81c", "x", "y", "z")
	w.configure(1)
	for n := range 2 {
		go w.write(n)
	}
	w.awaitWrites(100)
	go w.readBounded(second, databaseNames[1][kindBounded])
	time.Sleep(2 * time.Second)
	if trouble {
		r := first.dbs[2]
		w.sendOddHeartbeat(r.id, map[string]any{"Service": second.name, "Address": r.addr, "Zone": r.zone, "Slots": slots, "State": "ready", "DatabaseRole": "replica", "Sequence": 4})
	}
	time.Sleep(15 * time.Second)
}

// oddLeaveCase: a heartbeat of another writer, with fields missing, has the id of a primary. Later that primary leaves.
func oddLeaveCase(w *world, trouble bool) {
	w.deploy(5, 4, "p", "a", "r")
	w.configure(1)
	for n := range 2 {
		go w.write(n)
	}
	w.awaitWrites(100)
	time.Sleep(2 * time.Second)
	p := w.svc.dbs[0]
	if trouble {
		w.sendOddHeartbeat(p.id, map[string]any{"Service": w.svc.name, "Address": p.addr, "Zone": p.zone, "Slots": slots, "State": "ready", "DatabaseRole": "primary", "Sequence": 4, "born": time.Now().UnixMilli()})
	}
	time.Sleep(5 * time.Second)
	w.note("%s is to leave", p.id)
	p.leave(6 * time.Second)
	time.Sleep(4 * time.Second)
}

// sendOddHeartbeat sends a heartbeat of another writer.
func (w *world) sendOddHeartbeat(id string, fields map[string]any) {
	body, _ := json.Marshal(fields)
	resp, err := http.Post("http://"+w.control[0].controlAddr+"/citronrun/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		w.fail(err)
	}
	_ = resp.Body.Close()
	w.note("a heartbeat of another writer, for %s, with %s: %d", id, body, resp.StatusCode)
}

// readBounded reads an item of a service by a database name until the case is over. Only the first service has the item.
func (w *world) readBounded(svc *service, databaseName string) {
	var s *session
	for i := 0; ; i++ {
		w.mu.Lock()
		over := w.over
		w.mu.Unlock()
		if over {
			return
		}
		time.Sleep(10 * time.Millisecond)
		if s == nil {
			var err error
			if s, err = w.open(w.fronts[i%len(w.fronts)].frontAddr, databaseName); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("b%08x", w.nextRead.Add(1))
		w.expect(id, svc)
		rows, result, err := s.query(id, "READ item0")
		switch {
		case err != nil:
			_ = s.conn.Close()
			s = nil
		case result == "COMPLETE" && rows[0] != "none" && svc != w.svc:
			w.note("read %s of service %s, which has no such item, gets %q", id, svc.name, rows)
		case result != "COMPLETE":
			w.note("read %s: %s", id, result)
		}
	}
}
