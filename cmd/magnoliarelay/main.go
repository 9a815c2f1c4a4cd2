// Command magnoliarelay is a query tier over many shards.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/root"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := root.Main(ctx, os.Args[1:], term.System())
	stop()
	os.Exit(code)
}
