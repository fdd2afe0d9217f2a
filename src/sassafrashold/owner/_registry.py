"""The leaf tasks of this process."""

import asyncio
from collections.abc import Mapping
import logging

from sassafrashold import index
from sassafrashold import views
from sassafrashold.owner import _leaf_task

_LOGGER = logging.getLogger(__name__)


class Registry:
    """Starts a task for each owned leaf and ends it after its last call.

    The task of a leaf that is lost stays until nothing is in flight, so that a
    leaf that comes back soon still counts the calls under way.
    """

    def __init__(self, context: _leaf_task.Context) -> None:
        self._context = context
        self._task_by_leaf: dict[str, _leaf_task.LeafTask] = {}
        self._runner_by_leaf: dict[str, asyncio.Task[None]] = {}

    @property
    def task_by_leaf(self) -> Mapping[str, _leaf_task.LeafTask]:
        """Tasks by leaf id."""
        return self._task_by_leaf

    def get(self, service: str, leaf: index.Leaf) -> _leaf_task.LeafTask | None:
        """Returns the task of a leaf; None if the table lacks its service."""
        task = self._task_by_leaf.get(leaf.leaf_id)
        if task is not None:
            return task
        view = self._context.view()
        row = view.table.row_by_service.get(service) if view.table else None
        if row is None:
            return None
        task = _leaf_task.LeafTask(leaf, row, self._context)
        self._task_by_leaf[leaf.leaf_id] = task
        runner = asyncio.create_task(task.run())
        runner.add_done_callback(_log_failure)
        self._runner_by_leaf[leaf.leaf_id] = runner
        return task

    def sync(self) -> None:
        """Follows a change of the view or of the entitlement."""
        view = self._context.view()
        rights = self._context.rights
        for service, shardmap in view.shardmap_by_service.items():
            for leaf in shardmap.leaf_by_id.values():
                task = self._task_by_leaf.get(leaf.leaf_id)
                if task is not None and task.leaf != leaf:
                    task.move(leaf)
                if task is None and not rights.static and rights.owns(leaf):
                    self.get(service, leaf)
        for task in self._task_by_leaf.values():
            task.refresh()

    def reap(self) -> None:
        """Ends the tasks of leafs that are lost and have nothing in flight."""
        known = _leaf_ids(self._context.view())
        for leaf_id, task in list(self._task_by_leaf.items()):
            lost = leaf_id not in known or not self._context.rights.owns(
                task.leaf
            )
            if lost and task.idle:
                del self._task_by_leaf[leaf_id]
                self._runner_by_leaf.pop(leaf_id).cancel()

    def released(self) -> bool:
        """Returns whether nothing is in flight on leafs that are not owned."""
        return all(
            task.idle or self._context.rights.owns(task.leaf)
            for task in self._task_by_leaf.values()
        )

    def idle(self) -> bool:
        """Returns whether nothing is in flight on any leaf."""
        return all(task.idle for task in self._task_by_leaf.values())

    async def close(self) -> None:
        """Ends all tasks."""
        for runner in self._runner_by_leaf.values():
            runner.cancel()
        await asyncio.gather(
            *self._runner_by_leaf.values(), return_exceptions=True
        )


def _leaf_ids(view: views.View) -> set[str]:
    return {
        leaf_id
        for shardmap in view.shardmap_by_service.values()
        for leaf_id in shardmap.leaf_by_id
    }


def _log_failure(runner: asyncio.Task[None]) -> None:
    if not runner.cancelled() and runner.exception() is not None:
        _LOGGER.critical("a leaf task ended", exc_info=runner.exception())
