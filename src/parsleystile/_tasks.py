"""Background tasks, at most one per name."""

import asyncio
import typing

from absl import logging


class BackgroundTasks:
    """Keeps references to running tasks and starts each name only once."""

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(
        self,
        name: str,
        coroutine_function: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> bool:
        """Start a task; return False if one of this name is still running."""
        if name in self._running:
            return False
        task = asyncio.get_running_loop().create_task(
            coroutine_function(), name=name
        )
        self._running[name] = task
        task.add_done_callback(self._on_done)
        return True

    def close(self) -> None:
        """Cancel every task."""
        for task in self._running.values():
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._running.pop(task.get_name(), None)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                'task %s failed', task.get_name(), exc_info=task.exception()
            )


def background_tasks() -> BackgroundTasks:
    """Create an empty set of tasks."""
    return BackgroundTasks()
