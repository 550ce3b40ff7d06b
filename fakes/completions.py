"""Chat completions of the fake engine, whole and streamed."""

import asyncio
import json
from typing import Any

from fakes import answers
from fakes.batching import Run
from fakes.engine_state import Engine
from fakes.serving import StandHandler, wall_ms

_MS_PER_S = 1000


class CompletionsHandler(StandHandler):
    """``POST /v1/chat/completions``, whole and streamed."""

    engine: Engine

    async def post(self) -> None:
        """Run the request and relay its tokens."""
        request = self.body_json()
        if request.get('model') not in self.engine.orders.loaded:
            self.fail(404, 'version_not_loaded')
            return
        self._read(request)
        self.engine.submit(self.run)
        await self.done.wait()
        if self.run.outcome == 'cancelled':
            self.fail_cancelled()
            return
        self.engine.close(self.run)
        if self.stand.faults.late_s:
            await asyncio.sleep(self.stand.faults.late_s)
        await self.hold_if_silent()
        if self.is_streamed:
            self._write_end()
        else:
            self._write_whole()

    def on_connection_close(self) -> None:
        """Cancel the work of a caller who left."""
        if hasattr(self, 'run'):
            self.engine.close(self.run)
            self.done.set()

    def fail_cancelled(self) -> None:
        """End a cancelled answer without its end marker."""
        if self.request.connection.stream.closed():
            return
        if self.is_streamed:
            self.request.connection.stream.close()
            return
        self.fail(499, 'cancelled')

    def _read(self, request: dict[str, Any]) -> None:
        headers = self.request.headers
        prompt = answers.prompt_text(request.get('messages', []))
        self.done = asyncio.Event()
        self.is_streamed = bool(request.get('stream'))
        self.prompt_tokens = answers.count_prompt_tokens(prompt)
        self.written_tokens = int(request.get('resume_from_token', 0))
        cached_tokens = self.engine.cache.use(prompt)
        self.run = Run(
            request_id=headers.get('X-Request-Id', f'anonymous-{id(self)}'),
            version=request['model'],
            account=headers.get('X-Account', ''),
            task=request.get('metadata', {}).get('task', 'general'),
            priority=int(headers.get('X-Priority', 1)),
            total_tokens=int(
                request.get('max_tokens') or self.engine.options.default_tokens
            ),
            sink=self._take_tokens,
            prompt_tokens=self.prompt_tokens,
            uncached_tokens=self.prompt_tokens - cached_tokens,
            emitted_tokens=self.written_tokens,
        )
        self.answer_id = self.run.request_id
        if self.stand.happens(self.stand.faults.crossed_rate):
            self.answer_id = f'crossed-{self.run.request_id}'
        self.is_cut = self.stand.happens(self.stand.faults.half_answer_rate)
        self.verdict = self.engine.verdict(self.run, prompt)
        self.set_header('X-Request-Id', self.answer_id)
        if self.is_streamed:
            self._prepare_stream()

    def _prepare_stream(self) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        head = json.dumps(
            {
                'id': self.answer_id,
                'object': 'chat.completion.chunk',
                'created': wall_ms() // _MS_PER_S,
                'model': self.run.version,
            }
        )
        self.chunk_head = f'data: {head[:-1]}, "choices": [{{"index": 0, '

    def _take_tokens(self, run: Run) -> None:
        is_last = run.emitted_tokens == run.total_tokens
        if self.is_cut and run.emitted_tokens * 2 >= run.total_tokens:
            self.request.connection.stream.close()
            return
        new_tokens = run.emitted_tokens - self.written_tokens
        if self.is_streamed and (
            is_last or new_tokens >= self.engine.options.tokens_per_chunk
        ):
            self._write_tokens(run)
        if is_last:
            self.done.set()

    def _write_tokens(self, run: Run) -> None:
        text = self._text(self.written_tokens, run.emitted_tokens)
        self.written_tokens = run.emitted_tokens
        if self.is_silent or self.stand.faults.late_s:
            self.late_text = getattr(self, 'late_text', '') + text
            return
        self.write(
            f'{self.chunk_head}"delta": {{"content": "{text}"}}, '
            '"finish_reason": null}]}\n\n'
        )
        self.flush()

    def _write_end(self) -> None:
        late_text = getattr(self, 'late_text', '')
        usage = json.dumps(self._usage())
        self.write(
            f'{self.chunk_head}"delta": {{"content": "{late_text}"}}, '
            f'"finish_reason": "stop"}}], "usage": {usage}}}\n\n'
            'data: [DONE]\n\n'
        )
        self.finish()

    def _write_whole(self) -> None:
        text = self._text(self.written_tokens, self.run.total_tokens)
        message = {'role': 'assistant', 'content': text}
        self.answer(
            {
                'id': self.answer_id,
                'object': 'chat.completion',
                'created': wall_ms() // _MS_PER_S,
                'model': self.run.version,
                'choices': [
                    {'index': 0, 'message': message, 'finish_reason': 'stop'}
                ],
                'usage': self._usage(),
            }
        )

    def _text(self, begin: int, end: int) -> str:
        return answers.tokens_between(
            self.answer_id, begin, end, self.run.total_tokens, self.verdict
        )

    def _usage(self) -> dict[str, int]:
        total = self.prompt_tokens + self.run.total_tokens
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.run.total_tokens,
            'total_tokens': total,
        }
