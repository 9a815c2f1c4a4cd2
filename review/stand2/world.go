//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/platform/fakes"
)

const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// stability is the bound stabilityWindowMs.
	stability = 5 * time.Second
	// readyTimeout is how long a case waits for its daemons.
	readyTimeout = 20 * time.Second
)

// errEnvironment is the cause for which a case cannot run.
var errEnvironment = errors.New("the case cannot run")

// world is a small deployment: a store, searchers and daemons.
type world struct {
	// Trouble is true unless the case runs without its disruption.
	Trouble bool
	Folder  string

	store     *fakes.Store
	searchers []*searcher
	daemons   []*daemon
	temporary string
	record    *record
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

func newWorld(folder string, trouble bool) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{Trouble: trouble, Folder: folder, temporary: temporary, record: &record{file: file, start: time.Now()}}
	w.store = fakes.NewStore()
	w.record.line("case %s, trouble %t", filepath.Base(folder), trouble)
	return w, nil
}

// close ends everything that the world has started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, s := range w.searchers {
		s.stop()
	}
	w.store.Close()
	_ = os.RemoveAll(w.temporary)
	_ = w.record.file.Close()
}

// addSearcher starts a searcher and registers it.
func (w *world) addSearcher(s *searcher) error {
	if err := s.start(); err != nil {
		return err
	}
	w.searchers = append(w.searchers, s)
	w.store.Put("servers/"+s.ID, s.entry("ready"))
	return nil
}

// route and service are parts of the operator's configuration.
type route struct {
	Name, Host, Prefix string
	// Timeout and Target are in milliseconds.
	Timeout, Target    int
	Priority, Attempts int
	// Service is the route's service, or Gather its shards.
	Service string
	Gather  []string
	Top     int
	Least   float64
}

type service struct {
	Name        string
	Health      string
	Connections int
}

// configure writes the operator's configuration.
func (w *world) configure(version int, routes []route, services []service) error {
	var out bytes.Buffer
	err := configuration.Execute(&out, map[string]any{"Version": version, "Routes": routes, "Services": services})
	if err != nil {
		return err
	}
	w.store.Put(names.ConfigKey, out.Bytes())
	return nil
}

// daemon is a process of the project.
type daemon struct {
	Name string
	Zone string

	ip        string
	front     string
	ready     string
	directory string
	ports     [5]int
	world     *world
	command   *exec.Cmd
	exited    chan struct{}
	// lives are the times from a start of the process to its SIGTERM.
	lives []life
}

// life is the life of one process; to is zero while it lasts.
type life struct{ from, to time.Time }

// inTouch reports whether the process ran undisturbed for the stability window before a
// time and until another one.
func (d *daemon) inTouch(from, to time.Time) bool {
	return slices.ContainsFunc(d.lives, func(l life) bool {
		return !from.Before(l.from.Add(stability)) && (l.to.IsZero() || to.Before(l.to))
	})
}

// addDaemon starts a daemon at loopback address 127.46.0.N.
func (w *world) addDaemon(zone string) (*daemon, error) {
	n := len(w.daemons) + 1
	d := &daemon{Name: "frontend-" + zone + "-" + strconv.Itoa(n), Zone: zone, ip: fmt.Sprintf("127.46.%d.%d", os.Getpid()%250, n), world: w}
	for i := range d.ports {
		port, err := freePort(d.ip)
		if err != nil {
			return nil, err
		}
		d.ports[i] = port
	}
	d.front = net.JoinHostPort(d.ip, strconv.Itoa(d.ports[0]))
	d.ready = net.JoinHostPort(d.ip, strconv.Itoa(d.ports[1]))
	d.directory = net.JoinHostPort(d.ip, strconv.Itoa(d.ports[3]))
	w.daemons = append(w.daemons, d)
	return d, d.start(true)
}

// freePort returns a port that is free for TCP and UDP.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	port := listener.Addr().(*net.TCPAddr).Port
	socket, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return 0, err
	}
	return port, socket.Close()
}

// start starts the process as the deploy file says.
func (d *daemon) start(bootstrap bool) error {
	region := d.Zone[:len(d.Zone)-2]
	path := filepath.Join(d.world.temporary, d.Name+".yaml")
	content := fmt.Sprintf(settings, d.Name, d.ip, d.Zone, region, d.ports[0], d.ports[1], d.ports[2], d.ports[3], d.ports[4], bootstrap, d.world.store.Address())
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.world.temporary, d.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/magnoliarelay-node")
	command.Env = []string{"MAGNOLIARELAY_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	d.lives = append(d.lives, life{from: time.Now()})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	d.world.record.line("daemon %s started, process %d", d.Name, command.Process.Pid)
	return nil
}

// kill ends the process.
func (d *daemon) kill() {
	if d.command != nil {
		_ = d.command.Process.Kill()
		<-d.exited
	}
}

// terminate stops the process as the platform does, and reports whether it ended by itself
// within its grace period.
func (d *daemon) terminate() (inTime bool) {
	d.world.record.line("daemon %s: SIGTERM", d.Name)
	d.lives[len(d.lives)-1].to = time.Now()
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
		d.world.record.line("daemon %s ended", d.Name)
		return true
	case <-time.After(gracePeriod):
		d.world.record.line("daemon %s: SIGKILL at the end of its grace period", d.Name)
		d.kill()
		return false
	}
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.world.record.line("daemon %s is ready", d.Name)
			return nil
		}
	}
	return fmt.Errorf("%w: daemon %s is not ready", errEnvironment, d.Name)
}

// start starts daemons in the zones and waits until all are ready.
func (w *world) start(zones ...string) error {
	for _, zone := range zones {
		if _, err := w.addDaemon(zone); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// directories returns the addresses that requesters ask where to connect.
func (w *world) directories() []string {
	var list []string
	for _, d := range w.daemons {
		list = append(list, d.directory)
	}
	return list
}

// daemonAt returns the daemon with the address.
func (w *world) daemonAt(front string) *daemon {
	for _, d := range w.daemons {
		if d.front == front {
			return d
		}
	}
	return &daemon{Name: front}
}

// nameOf returns the name of the daemon with the address.
func (w *world) nameOf(front string) string { return w.daemonAt(front).Name }
