"""Stand in for a bare pass-through, the baseline of the entry's cost."""

from tornado import curl_httpclient, httpclient, httpserver, web

_MAX_TRANSFERS = 4000


class PassThrough(web.RequestHandler):
    """Forward a request to one URL and its body back, and nothing else."""

    def initialize(
        self,
        client: httpclient.AsyncHTTPClient,
        target: str,
    ) -> None:
        """Keep what the application hands over."""
        self.client = client
        self.target = target

    async def get(self) -> None:
        """Forward a request without a body."""
        await self._forward('GET', None)

    async def post(self) -> None:
        """Forward a request with its body."""
        await self._forward('POST', self.request.body)

    async def _forward(self, method: str, body: bytes | None) -> None:
        response = await self.client.fetch(
            f'{self.target}{self.request.uri}',
            method=method,
            body=body,
        )
        self.write(response.body)


def make_pass_through(target: str) -> web.Application:
    """Make the application that forwards to a target."""
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=_MAX_TRANSFERS,
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
    """Start a pass-through on the running loop."""
    return make_pass_through(target).listen(port, address)
