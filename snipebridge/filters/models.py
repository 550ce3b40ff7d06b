"""Lists the models and versions that a client account may use."""

import orjson

from snipebridge.filters.billing import COMPLETE
from snipebridge.filters.chain import Proceed
from snipebridge.filters.exchange import Exchange

_OK = 200


class ModelsFilter:
    """The last filter of a model listing."""

    __slots__ = ()

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Reply with the permitted versions in the OpenAI format."""
        versions = exchange.view.permitted_versions(exchange.account)
        body = {
            'object': 'list',
            'data': [
                {
                    'id': version.name,
                    'object': 'model',
                    'owned_by': version.model,
                }
                for version in versions
            ],
        }
        exchange.reply.start(_OK, 'application/json')
        await exchange.reply.finish(orjson.dumps(body))
        exchange.outcome = COMPLETE
