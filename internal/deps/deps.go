//go:build deps

// Package deps keeps module requirements in go.mod while the packages that need them are written.
package deps

import (
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-kit/log"
	_ "github.com/go-kit/log/level"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/matryer/is"
	_ "github.com/quic-go/quic-go"
	_ "github.com/tailscale/hujson"
	_ "github.com/xdg-go/scram"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "k8s.io/apimachinery/pkg/labels"
	_ "pgregory.net/rapid"
)
