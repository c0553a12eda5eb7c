"""HTTP proxy that only forwards, the baseline for the cost of an entry."""

from tornado import curl_httpclient, httpclient, httpserver, web

_MAX_CONCURRENT_TRANSFERS = 4000


class PassThrough(web.RequestHandler):
    """Handler that forwards a request to one URL and returns the body only."""

    def initialize(
        self,
        client: httpclient.AsyncHTTPClient,
        target: str,
    ) -> None:
        """Store the arguments of the application's routes."""
        self.client = client
        self.target = target

    async def get(self) -> None:
        """Forward a GET request, without a body."""
        await self._forward('GET', None)

    async def post(self) -> None:
        """Forward a POST request with its body."""
        await self._forward('POST', self.request.body)

    async def _forward(self, method: str, body: bytes | None) -> None:
        response = await self.client.fetch(
            f'{self.target}{self.request.uri}',
            method=method,
            body=body,
        )
        self.write(response.body)


def make_pass_through(target: str) -> web.Application:
    """Make the application that forwards to the URL `target`."""
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=_MAX_CONCURRENT_TRANSFERS,
    )
    return web.Application(
        [
            ('.*', PassThrough, {'client': client, 'target': target}),
        ]
    )


def start_pass_through(
    *,
    address: str,
    port: int,
    target: str,
) -> httpserver.HTTPServer:
    """Start the proxy on the running event loop."""
    return make_pass_through(target).listen(port, address)
