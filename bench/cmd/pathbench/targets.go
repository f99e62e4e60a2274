package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/standin"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	service   = "bookings"
	databases = 3
)

// runTargets runs the stand-in targets until stdin is closed. It prints their addresses as a JSON
// array, the primary first.
func runTargets(serviceTime time.Duration, rows int, urls []string, stdin io.Reader, stdout io.Writer) error {
	g, err := standin.StartGroup(standin.GroupConfig{Targets: databases, Config: standin.Config{
		Target:           service + "-",
		Database:         service,
		MinStatementTime: serviceTime,
	}})
	if err != nil {
		return err
	}
	defer g.Close()
	if err := createRows(g.Servers[0].Addr(), rows); err != nil {
		return err
	}
	var addrs []string
	for _, s := range g.Servers {
		addrs = append(addrs, s.Addr())
		a := standin.NewAnnouncer(wire.Announce{
			Target: s.Target(), Service: service, Addr: s.Addr(), Place: place,
		}, urls...)
		defer a.Close()
	}
	if err := json.NewEncoder(stdout).Encode(addrs); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, stdin) // ends when the parent closes its side or dies
	return nil
}

// createRows inserts one booking for the small read, and rows into the table repair for the large
// read.
func createRows(addr string, rows int) error {
	ctx := context.Background()
	conn, err := pgconn.Connect(ctx, targetURL(addr))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	statements := []string{"INSERT INTO booking (id, visitor, status) VALUES ('b1', 'visitor', 'open')"}
	for i := range rows {
		statements = append(statements,
			fmt.Sprintf("INSERT INTO repair (id, stall, status) VALUES ('r%d', 'stall', 'open')", i))
	}
	for _, sql := range statements {
		if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
			return fmt.Errorf("%s: %w", sql, err)
		}
	}
	return nil
}

func targetURL(addr string) string {
	return "postgres://citronrun@" + addr + "/" + service + "?sslmode=disable"
}
