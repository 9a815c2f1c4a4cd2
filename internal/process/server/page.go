package server

import (
	"encoding/json"
	"html/template"
	"net/http"

	"github.com/kataras/iris/v12"
)

// page renders the status as an HTML page.
func (s *Server) page(ctx iris.Context) {
	status, err := json.MarshalIndent(s.Backend.Status(), "", "  ")
	if err != nil {
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	ctx.ContentType("text/html; charset=utf-8")
	data := struct{ Name, Status string }{s.Name, string(status)}
	if err := pageTemplate.Execute(ctx.ResponseWriter(), data); err != nil {
		s.Meter.CountDecision("CallerGone")
	}
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<meta http-equiv="refresh" content="2">
<title>magnoliarelay {{.Name}}</title>
<style>body{font:14px/1.4 sans-serif;margin:2em}pre{background:#f4f4f0;padding:1em;overflow:auto}</style>
<h1>{{.Name}}</h1>
<p><a href="/metrics">metrics</a> · <a href="/v1/addresses">addresses</a> · <a href="/v1/status">status</a> · <a href="/debug/pprof/">profiles</a></p>
<pre>{{.Status}}</pre>
</html>
`))
