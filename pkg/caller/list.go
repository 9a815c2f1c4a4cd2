package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// address returns the address for an attempt: the nearest ones take turns at
// first, the others follow.
func (c *Caller) address(ctx context.Context, attempt int) (wire.Address, error) {
	list, err := c.addresses(ctx, attempt > 0)
	if err != nil {
		return wire.Address{}, err
	}
	near := c.near(list.Addresses)
	if attempt == 0 {
		return list.Addresses[int(c.rotate.Add(1))%near], nil
	}
	return list.Addresses[(int(c.rotate.Load())+attempt)%len(list.Addresses)], nil
}

// near counts the addresses at the front that are in one data centre.
func (c *Caller) near(addresses []wire.Address) int {
	count := 1
	for count < len(addresses) && addresses[count].DataCentre == addresses[0].DataCentre {
		count++
	}
	return count
}

// addresses returns the list held, or a new one when it has run out. After a
// failure an old list is better than none.
func (c *Caller) addresses(ctx context.Context, failed bool) (*wire.AddressList, error) {
	if list := c.held(); list != nil && !failed {
		return list, nil
	}
	c.refresh.Lock()
	defer c.refresh.Unlock()
	if list := c.held(); list != nil && !failed {
		return list, nil
	}
	list, err := c.ask(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.list = list
		c.listed = time.Now()
		return list, nil
	}
	if c.list != nil {
		return c.list, nil
	}
	return nil, &Error{Op: "find addresses", Kind: KindUnreachable, Err: err}
}

func (c *Caller) held() *wire.AddressList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil {
		return nil
	}
	keep := time.Duration(c.list.KeepMillis) * time.Millisecond
	if keep <= 0 {
		keep = defaultKeep
	}
	if time.Since(c.listed) >= keep {
		return nil
	}
	return c.list
}

var errNoAddress = errors.New("no daemon gave an address")

// ask asks the daemons of the old list, then the seeds.
func (c *Caller) ask(ctx context.Context) (*wire.AddressList, error) {
	var urls []string
	c.mu.Lock()
	if c.list != nil {
		for i := range c.list.Addresses {
			urls = append(urls, c.list.Addresses[i].URL)
		}
	}
	c.mu.Unlock()
	urls = append(urls, c.Seeds...)
	last := errNoAddress
	query := "/v1/addresses?DataCentre=" + url.QueryEscape(c.DataCentre) + "&Region=" + url.QueryEscape(c.Region)
	for _, base := range urls {
		var list wire.AddressList
		err := c.get(ctx, base+query, &list)
		if err == nil && len(list.Addresses) > 0 {
			return &list, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, last
}

func (c *Caller) get(ctx context.Context, at string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return err
	}
	response, err := c.http().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New("a daemon answered " + strconv.Itoa(response.StatusCode))
	}
	return json.NewDecoder(io.LimitReader(response.Body, mostReply)).Decode(value)
}
