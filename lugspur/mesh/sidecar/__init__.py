"""The process of a proxy beside one backend: requests of its machine out, requests for its backend in."""
