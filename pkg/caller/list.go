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

// selectAddress returns the address for an attempt. First attempts rotate over
// the nearest addresses, later attempts over all addresses.
func (c *Caller) selectAddress(ctx context.Context, attempt int) (wire.Address, error) {
	list, err := c.currentList(ctx, attempt > 0)
	if err != nil {
		return wire.Address{}, err
	}
	nearest := c.countNearest(list.Addresses)
	if attempt == 0 {
		return list.Addresses[int(c.rotation.Add(1))%nearest], nil
	}
	return list.Addresses[(int(c.rotation.Load())+attempt)%len(list.Addresses)], nil
}

// countNearest counts the addresses at the start of the list that are in the
// data centre of the first one.
func (c *Caller) countNearest(addresses []wire.Address) int {
	count := 1
	for count < len(addresses) && addresses[count].DataCentre == addresses[0].DataCentre {
		count++
	}
	return count
}

// currentList returns the cached list, or a new one if the list has expired or
// an attempt has failed. If it cannot fetch a new list, it returns the old one.
func (c *Caller) currentList(ctx context.Context, failed bool) (*wire.AddressList, error) {
	if list := c.unexpiredList(); list != nil && !failed {
		return list, nil
	}
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	if list := c.unexpiredList(); list != nil && !failed {
		return list, nil
	}
	list, err := c.fetchList(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.addressList = list
		c.listReceivedAt = time.Now()
		return list, nil
	}
	if c.addressList != nil {
		return c.addressList, nil
	}
	return nil, &Error{Op: "find addresses", Kind: KindUnreachable, Err: err}
}

func (c *Caller) unexpiredList() *wire.AddressList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addressList == nil {
		return nil
	}
	lifetime := time.Duration(c.addressList.KeepMillis) * time.Millisecond
	if lifetime <= 0 {
		lifetime = defaultListLifetime
	}
	if time.Since(c.listReceivedAt) >= lifetime {
		return nil
	}
	return c.addressList
}

var errNoAddress = errors.New("no daemon returned an address")

// fetchList requests a list from the daemons of the old list and then from the
// seeds, until one returns a list.
func (c *Caller) fetchList(ctx context.Context) (*wire.AddressList, error) {
	var urls []string
	c.mu.Lock()
	if c.addressList != nil {
		for i := range c.addressList.Addresses {
			urls = append(urls, c.addressList.Addresses[i].URL)
		}
	}
	c.mu.Unlock()
	urls = append(urls, c.Seeds...)
	lastErr := errNoAddress
	requestURI := "/v1/addresses?DataCentre=" + url.QueryEscape(c.DataCentre) + "&Region=" + url.QueryEscape(c.Region)
	for _, base := range urls {
		var list wire.AddressList
		err := c.getJSON(ctx, base+requestURI, &list)
		if err == nil && len(list.Addresses) > 0 {
			return &list, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return nil, lastErr
}

func (c *Caller) getJSON(ctx context.Context, requestURL string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return err
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New("a daemon answered " + strconv.Itoa(response.StatusCode))
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(value)
}
