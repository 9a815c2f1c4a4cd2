// Package etcd defines the messages of the etcd v3 JSON gateway that the store
// adapter uses. Keys and values are byte strings, which JSON encodes as base64;
// the gateway writes 64-bit integers as strings.
//
// # Usage
//
//	request := etcd.RangeRequest{Key: []byte("/magnoliarelay/settings")}
//	// POST it to /v3/kv/range; the reply is an etcd.RangeResponse.
package etcd

// Header is part of every response.
type Header struct {
	// ClusterID and MemberID are others after a restore from a snapshot. They have no order.
	ClusterID uint64 `json:"cluster_id,string"`
	MemberID  uint64 `json:"member_id,string"`
	Revision  int64  `json:"revision,string"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Version     int64  `json:"version,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest is the body of POST /v3/kv/range.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the reply to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// PutRequest sets a key in a transaction.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes a key in a transaction.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Compare is one condition of a transaction, on the revision of a key.
type Compare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Operation is one operation of a transaction; exactly one field is set.
type Operation struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is the body of POST /v3/kv/txn.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
	Failure []Operation `json:"failure,omitempty"`
}

// OperationResponse is the result of one operation.
type OperationResponse struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the reply to a TxnRequest.
type TxnResponse struct {
	Header    Header              `json:"header"`
	Succeeded bool                `json:"succeeded"`
	Responses []OperationResponse `json:"responses,omitempty"`
}

// GrantRequest is the body of POST /v3/lease/grant.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// Lease is the reply to a grant, and the body of /v3/lease/revoke.
type Lease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is the reply to POST /v3/lease/keepalive. A TTL of zero
// means that the lease has expired.
type KeepAliveResponse struct {
	Result Lease `json:"result"`
}

// WatchRequest is the body of POST /v3/watch.
type WatchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string,omitempty"`
	} `json:"create_request"`
}

// Event is one change of a watched key; Type is empty for a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Result struct {
		Header          Header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision int64   `json:"compact_revision,string,omitempty"`
		Events          []Event `json:"events,omitempty"`
	} `json:"result"`
}
