// Package fake implements the commands that run fake services as separate
// processes.
//
// # Usage
//
//	magnoliarelay fake store --listen 127.0.0.1:2379
//	magnoliarelay fake hosts --listen 127.0.0.1:8500 --file hosts.json
//	magnoliarelay fake searcher --listen 127.0.0.1:9001 --service Herbarium --shards 4 --hold 0,1
//	magnoliarelay fake keys --out ./keys --name entry-1 --name entry-2
package fake

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/hosts"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const reloadInterval = time.Second

// Options are the subcommands, one for each fake service.
type Options struct {
	Store    Store    `cmd:"" help:"Run a fake of the platform's key-value service."`
	Hosts    Hosts    `cmd:"" help:"Run a fake of the platform's host list."`
	Searcher Searcher `cmd:"" help:"Run a fake searcher."`
	Keys     Keys     `cmd:"" help:"Create temporary keys for daemons."`
}

// Init sets the streams of the subcommands.
func (o *Options) Init(s *term.Streams) {
	o.Store.streams, o.Hosts.streams, o.Searcher.streams, o.Keys.streams = s, s, s, s
}

// Store is the command that runs a fake store.
type Store struct {
	streams *term.Streams

	Listen         string        `help:"Address to listen on." default:"127.0.0.1:0"`
	CallsPerSecond float64       `help:"Rate above which calls are refused; 0 is no limit."`
	Delay          time.Duration `help:"Time added to each call."`
	LoseReplies    int           `help:"Number of writes whose replies are dropped."`
}

// Run serves until interrupted.
func (o *Store) Run(ctx context.Context) error {
	s := &store.Store{CallsPerSecond: o.CallsPerSecond}
	if err := s.Start(o.Listen); err != nil {
		return &term.Error{Op: "fake store", Kind: term.KindFailed, Err: err}
	}
	s.SetFaults(store.Faults{Delay: o.Delay, LoseReplies: o.LoseReplies})
	o.streams.PrintErrf("store: %s", s.URL())
	<-ctx.Done()
	s.Stop()
	return nil
}

// Hosts is the command that runs a fake host list.
type Hosts struct {
	streams *term.Streams

	Listen string        `help:"Address to listen on." default:"127.0.0.1:0"`
	File   string        `help:"JSON file with the list; read again every second." required:"" type:"existingfile"`
	Lag    time.Duration `help:"Delay before a change becomes visible."`
}

// Run serves until interrupted.
func (o *Hosts) Run(ctx context.Context) error {
	l := &hosts.List{Lag: o.Lag}
	if err := o.read(l); err != nil {
		return &term.Error{Op: "fake hosts", Kind: term.KindUsage, Err: err}
	}
	if err := l.Start(o.Listen); err != nil {
		return &term.Error{Op: "fake hosts", Kind: term.KindFailed, Err: err}
	}
	o.streams.PrintErrf("host list: http://%s/hosts", l.Address())
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Stop()
			return nil
		case <-ticker.C:
			if err := o.read(l); err != nil {
				o.streams.PrintErrf("%s: %v", o.File, err)
			}
		}
	}
}

func (o *Hosts) read(l *hosts.List) error {
	content, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	var list wire.HostList
	if err := json.Unmarshal(content, &list); err != nil {
		return err
	}
	l.Set(list.Hosts)
	return nil
}

// Searcher is the command that runs a fake searcher.
type Searcher struct {
	streams *term.Streams

	Listen          string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Service         string        `help:"Service of the index." required:""`
	Version         uint64        `help:"Index version." default:"1"`
	Shards          int           `help:"Number of shards of the whole index." required:""`
	Hold            []int         `help:"Shards that this searcher holds." required:""`
	Documents       int           `help:"Number of documents in the corpus." default:"2000"`
	Slots           int           `help:"Number of requests served concurrently." default:"3"`
	Connections     int           `help:"Maximum number of open connections." default:"40"`
	ConnectCost     time.Duration `help:"Time added to the first request of a connection." default:"1ms"`
	Median          time.Duration `help:"Median service time." default:"2ms"`
	Spread          float64       `help:"Spread of the log-normal service time." default:"0.3"`
	StragglerShare  float64       `help:"Share of requests that are stragglers."`
	StragglerFactor float64       `help:"Factor by which the service time of a straggler is longer." default:"20"`
	ColdFor         time.Duration `help:"Time after the start during which the searcher is slower."`
	ColdFactor      float64       `help:"Factor by which the searcher is slower right after its start." default:"10"`
	QueueLimit      int           `help:"Number of queued requests at which the searcher sheds load; 0 is no limit."`
	ShedAll         bool          `help:"Shed every request."`
	ReportLag       time.Duration `help:"Delay of the load reports."`
	CrashWord       string        `help:"Word that crashes the searcher when a query contains it."`
}

// Run serves until interrupted.
func (o *Searcher) Run(ctx context.Context) error {
	s := &shard.Searcher{Service: o.Service, Slots: o.Slots, Connections: o.Connections, ConnectCost: o.ConnectCost, QueueLimit: o.QueueLimit}
	s.UpdateBehaviour(func(b *shard.Behaviour) {
		b.Median, b.Spread = o.Median, o.Spread
		b.StragglerShare, b.StragglerFactor = o.StragglerShare, o.StragglerFactor
		b.ColdFor, b.ColdFactor = o.ColdFor, o.ColdFactor
		b.ShedAll, b.ReportLag, b.CrashWord = o.ShedAll, o.ReportLag, o.CrashWord
	})
	s.Hold(corpus.New(o.Service, o.Documents), o.Version, o.Shards, o.Hold)
	if err := s.Start(o.Listen); err != nil {
		return &term.Error{Op: "fake searcher", Kind: term.KindFailed, Err: err}
	}
	o.streams.PrintErrf("searcher: %s", s.Address())
	<-ctx.Done()
	s.Stop()
	return nil
}

// Keys is the command that creates keys.
type Keys struct {
	streams *term.Streams

	Out  string   `help:"Directory to write to." required:"" type:"existingdir"`
	Name []string `help:"Name of a daemon; may be given more than once." required:""`
}

// Run writes a certificate and key for each name, and the authority's certificate.
func (o *Keys) Run() error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return &term.Error{Op: "fake keys", Kind: term.KindFailed, Err: err}
	}
	for _, name := range o.Name {
		k := &keys.Keys{
			Certificate: filepath.Join(o.Out, name+".pem"),
			Key:         filepath.Join(o.Out, name+".key"),
			Authority:   filepath.Join(o.Out, "authority.pem"),
		}
		if err := authority.Write(k, name); err != nil {
			return &term.Error{Op: "fake keys", Kind: term.KindFailed, Err: err}
		}
	}
	o.streams.PrintErrf("wrote the keys of %d daemons to %s", len(o.Name), o.Out)
	return nil
}
