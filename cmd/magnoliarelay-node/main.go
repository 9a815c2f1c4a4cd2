// Command magnoliarelay-node runs a daemon on a host of the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/magnoliarelay/magnoliarelay/platform/boot"
	"github.com/magnoliarelay/magnoliarelay/platform/host"
)

func main() {
	var options struct {
		Config  string `help:"Path of the settings file of the platform." env:"MAGNOLIARELAY_CONFIG" default:"/etc/magnoliarelay/boot.yaml"`
		Metrics string `help:"Address to serve metrics at, such as :9464; empty disables them." default:":9464"`
	}
	kong.Parse(&options, kong.Name("magnoliarelay-node"),
		kong.Description("Relays opaque requests on a host of the platform.\n\nExample:\n  MAGNOLIARELAY_CONFIG=boot.yaml magnoliarelay-node"))
	if options.Config == "" {
		options.Config = boot.DefaultPath
	}
	err := host.Run(context.Background(), host.Options{Path: options.Config, Metrics: options.Metrics, Out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, "magnoliarelay-node:", err)
		os.Exit(1)
	}
}
